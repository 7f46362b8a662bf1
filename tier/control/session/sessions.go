package session

import (
	"maps"
	"slices"
	"sync"

	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// Sessions is who was heard when. It is kept by the primary alone; a new primary gives all the benefit of the doubt. Its methods may
// be called from any goroutine; times are those of the clock that it was made with, in milliseconds.
type Sessions struct {
	self uint64
	now  func() int64

	mu       sync.Mutex // guards what follows; nothing is called under it but package lease
	stores   *lease.StoreSessions
	hosts    *lease.HostSessions
	controls map[uint64]controlSession
	movedAt  map[uint64]int64 // when a control process was last asked to move hosts
	tickedAt int64
}

// New makes the sessions of the control process with an identity.
func New(self uint64, now func() int64) *Sessions {
	return &Sessions{
		self:     self,
		now:      now,
		stores:   lease.NewStoreSessions(),
		hosts:    lease.NewHostSessions(),
		controls: map[uint64]controlSession{},
		movedAt:  map[uint64]int64{},
	}
}

// Begin starts sessions anew for all that the state knows.
func (s *Sessions) Begin(st *state.State) {
	boots := map[uint64]uint64{}
	for id, store := range directory.Stores(st.View) {
		boots[id] = store.Incarnation
	}
	hosts := slices.Collect(maps.Keys(st.Hosts()))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.stores.Begin(boots, now)
	s.hosts.Begin(hosts, now)
	clear(s.movedAt)
	s.tickedAt = now
}

// Tick notes that this process runs; refusals is how many heartbeats it has refused for want of a lease. After a stall
// of its own it can't tell who was silent, and all start again.
func (s *Sessions) Tick(refusals uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if stalled := now - s.tickedAt; s.tickedAt > 0 && stalled > lease.StallThreshold {
		s.stores.ExtendAll(stalled)
		s.hosts.Restart(now)
		for id, session := range s.controls {
			session.heardAt += stalled
			s.controls[id] = session
		}
	}
	s.hosts.RenewHolder(s.self, refusals, now, now)
	s.tickedAt = now
}
