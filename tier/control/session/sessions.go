package session

import (
	"maps"
	"slices"
	"sync"

	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// Sessions is the primary's table of the sessions of hosts, stores and control processes. Its methods may be called from any goroutine.
// Times are milliseconds of the clock passed to New.
type Sessions struct {
	self uint64
	now  func() int64

	mu         sync.Mutex // guards the fields below; only package lease is called while it is held
	stores     *lease.StoreSessions
	hosts      *lease.HostSessions
	controls   map[uint64]controlSession
	lastMoveAt map[uint64]int64 // time of the last planned move, by control process
	tickedAt   int64
}

// New returns an empty table for the control process with the identity self.
func New(self uint64, now func() int64) *Sessions {
	return &Sessions{
		self:       self,
		now:        now,
		stores:     lease.NewStoreSessions(),
		hosts:      lease.NewHostSessions(),
		controls:   map[uint64]controlSession{},
		lastMoveAt: map[uint64]int64{},
	}
}

// Begin replaces all sessions of hosts and stores by new ones of those in the state.
func (s *Sessions) Begin(st *state.State) {
	incarnations := map[uint64]uint64{}
	for id, store := range directory.Stores(st.View) {
		incarnations[id] = store.Incarnation
	}
	hosts := slices.Collect(maps.Keys(st.Hosts()))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.stores.Begin(incarnations, now)
	s.hosts.Begin(hosts, now)
	clear(s.lastMoveAt)
	s.tickedAt = now
}

// Tick detects stalls of this process and must be called regularly. After a stall, which is a long time without a Tick, this process
// can't tell who was silent, and Tick extends all sessions. rejections is the number of heartbeats that this process has rejected
// because it had no lease.
func (s *Sessions) Tick(rejections uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if stalled := now - s.tickedAt; s.tickedAt > 0 && stalled > lease.StallThreshold {
		s.stores.ExtendAll(stalled)
		s.hosts.Restart(now)
		for id, session := range s.controls {
			session.lastSeenAt += stalled
			s.controls[id] = session
		}
	}
	s.hosts.RenewHolder(s.self, rejections, now, now)
	s.tickedAt = now
}
