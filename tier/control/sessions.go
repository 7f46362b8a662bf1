package control

import (
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/placement"
)

type controlSession struct {
	heardAt int64
	member  consensus.Member
	leaving bool
}

// Sessions is who was heard when. It is kept by the primary alone; a new primary gives all the benefit of the doubt.
type Sessions struct {
	self     uint64
	mu       sync.Mutex
	stores   *lease.StoreSessions
	hosts    *lease.HostSessions
	controls map[uint64]controlSession
	tickedAt int64
}

func newSessions(self uint64) *Sessions {
	return &Sessions{
		self:     self,
		stores:   lease.NewStoreSessions(),
		hosts:    lease.NewHostSessions(),
		controls: map[uint64]controlSession{},
	}
}

// Begin starts sessions anew for all that the state knows.
func (s *Sessions) Begin(state *state.State) {
	boots := map[uint64]uint64{}
	for id, store := range directory.Stores(state.View) {
		boots[id] = store.Boot
	}
	var hosts []string
	for id := range state.Hosts() {
		hosts = append(hosts, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := multigroup.Now()
	s.stores.Begin(boots, now)
	s.hosts.Begin(hosts, now)
	s.tickedAt = now
}

// Tick notes that this process runs; refusals is how many heartbeats it has refused for want of a lease. After a stall
// of its own it can't tell who was silent, and all start again.
func (s *Sessions) Tick(refusals uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := multigroup.Now()
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

// HeardStore keeps a store's session.
func (s *Sessions) HeardStore(beat controlclient.StoreBeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.Renew(beat.Store.Identity, beat.Store.Boot, beat.Leaving, multigroup.Now())
}

// HeardControl keeps a control process's session.
func (s *Sessions) HeardControl(member consensus.Member, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := multigroup.Now()
	s.controls[member.ID] = controlSession{heardAt: now, member: member, leaving: leaving}
	for id, session := range s.controls {
		if id != member.ID && session.member.Address == member.Address && session.member.Node == member.Node {
			delete(s.controls, id)
		}
	}
}

// HeardHolder notes that a control process which keeps sessions of hosts has answered what this one asked at a time, and how many
// heartbeats it has refused for want of a lease.
func (s *Sessions) HeardHolder(id, refusals uint64, asked int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.RenewHolder(id, refusals, asked, multigroup.Now())
}

// HeardHost keeps a host's session, for the control process that heard it at a time. It tells whether a removal of the host may be
// under way.
func (s *Sessions) HeardHost(id string, by uint64, at int64) (removing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Renew(id, by, at)
}

// KeptHost notes that a host was put on the list.
func (s *Sessions) KeptHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Readmit(id)
}

// RemovingHost ends a host's session.
func (s *Sessions) RemovingHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.BeginRemoval(id)
}

// RemovedHost notes whether a removal was committed.
func (s *Sessions) RemovedHost(id string, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.FinishRemoval(id, committed, multigroup.Now())
}

// ForgetHost ends the session of a host that is not on the list.
func (s *Sessions) ForgetHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Forget(id)
}

// SilentHosts lists hosts that missed too many heartbeats of the given length in milliseconds.
func (s *Sessions) SilentHosts(heartbeat int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Expired(heartbeat, multigroup.Now())
}

// Machines describes the store machines for placement.
func (s *Sessions) Machines(stores map[uint64]directory.Store, retiring func(node string) bool) map[uint64]placement.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := multigroup.Now()
	machines := make(map[uint64]placement.Machine, len(stores))
	for id, store := range stores {
		s.stores.Expect(id, store.Boot, now)
		machines[id] = placement.Machine{
			Store:       store,
			Alive:       s.stores.IsAlive(id, store.Boot, now),
			Unconfirmed: s.stores.IsUnconfirmed(id),
			Away:        s.stores.IsAway(id, now),
			Draining:    s.stores.IsDraining(id),
			Retiring:    retiring(store.Node),
		}
	}
	return machines
}

func (s *Sessions) storeSilentFor(id uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stores.SilentFor(id, multigroup.Now())
}

// Controls lists control processes that were heard lately.
func (s *Sessions) Controls() []consensus.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := multigroup.Now()
	var members []consensus.Member
	for _, session := range s.controls {
		if now-session.heardAt <= lease.ControlTimeout {
			members = append(members, session.member)
		}
	}
	return members
}

// ControlSilentFor is for how long a control process was not heard, counted from a moment at the earliest.
func (s *Sessions) ControlSilentFor(id uint64, since int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return multigroup.Now() - max(since, s.controls[id].heardAt)
}

// ControlLeaving tells whether a control process has said that it will end.
func (s *Sessions) ControlLeaving(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls[id].leaving
}
