package heartbeat

import (
	"bytes"
	"context"

	"otterseam/tier/control/proposal"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// Stores processes the heartbeats of store machines, as the primary. Its methods may be called from any goroutine.
type Stores struct {
	State    *state.State
	Sessions *session.Sessions
	Lease    Lease
	Proposer *proposal.Proposer
	// Registered is called after a store was registered, because shards may be waiting for one.
	Registered func()
}

// Handle renews a store's session. It registers a store that is new or has restarted.
func (s *Stores) Handle(ctx context.Context, payload []byte) (state.Result, error) {
	heartbeat, err := controlclient.DecodeStoreHeartbeat(payload)
	if err != nil {
		return state.Result{}, err
	}
	s.Sessions.RenewStore(heartbeat)
	committed, known := s.State.View.Get(feed.SectionStore, directory.StoreKey(heartbeat.Store.Identity))
	if known && bytes.Equal(committed, heartbeat.Store.Encode()) {
		return state.Result{}, s.Lease.MayDecide()
	}
	defer s.Registered()
	return s.Proposer.Propose(ctx, state.PutStore{Store: heartbeat.Store})
}
