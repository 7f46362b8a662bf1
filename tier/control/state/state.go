package state

import (
	"sync"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/feed"
)

// Group is the number of the replicated group that holds the control state.
const Group uint32 = 0

// State is the control state machine. It is folded into a view, from which it is also served, saved and restored. It may be read
// from any goroutine; commands are applied by one.
type State struct {
	// View is what subscribers are sent. It has a lock of its own.
	View *feed.View

	mu       sync.Mutex // guards what follows; the view's lock is taken under it
	changes  configlog.Log
	hosts    map[string]hostRecord
	departed int // hosts that deregistered and whose ids are still known
}

// New makes an empty state.
func New() *State {
	return &State{View: feed.NewView(), hosts: map[string]hostRecord{}}
}

// Apply carries out a command at its index in the log. It returns a Result.
func (s *State) Apply(index uint64, command []byte) any {
	d := codec.NewDecoder(command)
	kind := Kind(d.Uint8())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case KindReplaceConfig, KindReadConfig:
		return s.applyConfig(index, kind, d)
	case KindPutHost, KindRemoveHost, KindEjectHost, KindReinstateHost:
		return s.applyHost(index, kind, d)
	case KindPutStore, KindRemoveStore, KindRetireNode:
		return s.applyStore(index, kind, d)
	case KindPutShard, KindSetMembers:
		return s.applyPlacement(index, kind, d)
	default:
		return Result{Code: codes.Malformed}
	}
}

// The following decode and apply commands by their concrete types: a Command in between would be allocated at every commit.

func (s *State) applyConfig(index uint64, kind Kind, d *codec.Decoder) Result {
	switch kind {
	case KindReplaceConfig:
		if c, err := decodeReplaceConfig(d); err == nil {
			return c.apply(s, index)
		}
	case KindReadConfig:
		if d.Err() == nil {
			return ReadConfig{}.apply(s, index)
		}
	}
	return Result{Code: codes.Malformed}
}

func (s *State) applyHost(index uint64, kind Kind, d *codec.Decoder) Result {
	switch kind {
	case KindPutHost:
		if c, err := decodePutHost(d); err == nil {
			return c.apply(s, index)
		}
	case KindRemoveHost:
		if c, err := decodeRemoveHost(d); err == nil {
			return c.apply(s, index)
		}
	case KindEjectHost:
		if c, err := decodeEjectHost(d); err == nil {
			return c.apply(s, index)
		}
	case KindReinstateHost:
		if c, err := decodeReinstateHost(d); err == nil {
			return c.apply(s, index)
		}
	}
	return Result{Code: codes.Malformed}
}

func (s *State) applyStore(index uint64, kind Kind, d *codec.Decoder) Result {
	switch kind {
	case KindPutStore:
		if c, err := decodePutStore(d); err == nil {
			return c.apply(s, index)
		}
	case KindRemoveStore:
		if c, err := decodeRemoveStore(d); err == nil {
			return c.apply(s, index)
		}
	case KindRetireNode:
		if c, err := decodeRetireNode(d); err == nil {
			return c.apply(s, index)
		}
	}
	return Result{Code: codes.Malformed}
}

func (s *State) applyPlacement(index uint64, kind Kind, d *codec.Decoder) Result {
	switch kind {
	case KindPutShard:
		if c, err := decodePutShard(d); err == nil {
			return c.apply(s, index)
		}
	case KindSetMembers:
		if c, err := decodeSetMembers(d); err == nil {
			return c.apply(s, index)
		}
	}
	return Result{Code: codes.Malformed}
}
