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

// State is the control state machine. Commands are applied to a view, from which the state is also served, saved and restored. State
// may be read from any goroutine. Commands must be applied from one goroutine.
type State struct {
	// View is the part of the state that subscribers receive. It has its own lock.
	View *feed.View

	mu           sync.Mutex // guards the fields below; the view's lock is acquired while mu is held
	changes      configlog.Log
	hosts        map[string]hostRecord
	deregistered int // number of deregistered hosts whose IDs are retained
}

// New returns an empty state.
func New() *State {
	return &State{View: feed.NewView(), hosts: map[string]hostRecord{}}
}

// Apply executes a command at its index in the log. It returns a Result.
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

// The following methods decode and apply commands by their concrete types, because a Command interface value would cause an allocation
// at every commit.

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
