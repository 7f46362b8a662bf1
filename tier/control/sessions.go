package control

import (
	"sync"

	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/groups"
	"otterseam/tier/placement"
	"otterseam/tier/register"
)

const (
	storeSilence   = 650  // milliseconds after which a store's session ends
	storeAway      = 4000 // milliseconds after which its shards are placed elsewhere
	controlSilence = 2500 // milliseconds after which a control process may be replaced as a member
	hostBeatsLost  = 4    // heartbeats missed by a host that is then taken off the list
	ownStall       = 300  // milliseconds without a tick of its own, after which a process doubts its own clock of others
)

type storeSession struct {
	heardAt int64
	boot    uint64
	leaving bool
}

type controlSession struct {
	heardAt int64
	member  register.Member
	leaving bool
}

// Sessions is who was heard when. It is kept by the primary alone; a new primary gives all the benefit of the doubt.
type Sessions struct {
	mu       sync.Mutex
	stores   map[uint64]storeSession
	controls map[uint64]controlSession
	hosts    map[string]int64
	tickedAt int64
}

func newSessions() *Sessions {
	return &Sessions{stores: map[uint64]storeSession{}, controls: map[uint64]controlSession{}, hosts: map[string]int64{}}
}

// Begin starts sessions anew for all that the state knows.
func (s *Sessions) Begin(state *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := groups.Now()
	s.stores = map[uint64]storeSession{}
	s.hosts = map[string]int64{}
	for id, store := range directory.Stores(state.View) {
		s.stores[id] = storeSession{heardAt: now, boot: store.Boot}
	}
	for id := range state.Hosts() {
		s.hosts[id] = now
	}
	s.tickedAt = now
}

// Tick notes that this process runs. After a stall of its own it can't tell who was silent, and all start again.
func (s *Sessions) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := groups.Now()
	if stalled := now - s.tickedAt; s.tickedAt > 0 && stalled > ownStall {
		for id, session := range s.stores {
			session.heardAt += stalled
			s.stores[id] = session
		}
		for id := range s.hosts {
			s.hosts[id] += stalled
		}
		for id, session := range s.controls {
			session.heardAt += stalled
			s.controls[id] = session
		}
	}
	s.tickedAt = now
}

// HeardStore keeps a store's session.
func (s *Sessions) HeardStore(beat controlclient.StoreBeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores[beat.Store.Identity] = storeSession{heardAt: groups.Now(), boot: beat.Store.Boot, leaving: beat.Leaving}
}

// HeardControl keeps a control process's session.
func (s *Sessions) HeardControl(member register.Member, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls[member.ID] = controlSession{heardAt: groups.Now(), member: member, leaving: leaving}
	for id, session := range s.controls {
		if id != member.ID && session.member.Address == member.Address && session.member.Node == member.Node {
			delete(s.controls, id)
		}
	}
}

// HeardHost keeps a host's session.
func (s *Sessions) HeardHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = groups.Now()
}

// ForgetHost ends a host's session.
func (s *Sessions) ForgetHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
}

// SilentHosts lists hosts that missed too many heartbeats of the given length in milliseconds.
func (s *Sessions) SilentHosts(heartbeat int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := groups.Now()
	var silent []string
	for id, heard := range s.hosts {
		if now-heard > hostBeatsLost*heartbeat {
			silent = append(silent, id)
		}
	}
	return silent
}

// Machines describes the store machines for placement.
func (s *Sessions) Machines(stores map[uint64]directory.Store, retiring func(node string) bool) map[uint64]placement.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := groups.Now()
	machines := make(map[uint64]placement.Machine, len(stores))
	for id, store := range stores {
		session, heard := s.stores[id]
		silence := now - session.heardAt
		machines[id] = placement.Machine{
			Store:    store,
			Alive:    heard && silence <= storeSilence && session.boot == store.Boot,
			Away:     !heard || silence > storeAway,
			Leaving:  session.leaving,
			Retiring: retiring(store.Node),
		}
	}
	return machines
}

// Controls lists control processes that were heard lately.
func (s *Sessions) Controls() []register.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := groups.Now()
	var members []register.Member
	for _, session := range s.controls {
		if now-session.heardAt <= controlSilence {
			members = append(members, session.member)
		}
	}
	return members
}

// ControlSilentFor is for how long a control process was not heard, counted from a moment at the earliest.
func (s *Sessions) ControlSilentFor(id uint64, since int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return groups.Now() - max(since, s.controls[id].heardAt)
}

// ControlLeaving tells whether a control process has said that it will end.
func (s *Sessions) ControlLeaving(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls[id].leaving
}
