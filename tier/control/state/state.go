package state

import (
	"sync"

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
	c, err := DecodeCommand(command)
	if err != nil {
		return Result{Code: codes.Malformed}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.apply(s, index)
}
