package session

import (
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// RenewStore renews a store's session.
func (s *Sessions) RenewStore(heartbeat controlclient.StoreHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stores.Renew(heartbeat.Store.Identity, heartbeat.Store.Incarnation, heartbeat.Leaving, s.now())
}

// Machines returns the store machines with their session states, as the input of placement.
func (s *Sessions) Machines(stores map[uint64]directory.Store, retiring func(node string) bool) map[uint64]placement.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	machines := make(map[uint64]placement.Machine, len(stores))
	for id, store := range stores {
		s.stores.Expect(id, store.Incarnation, now)
		machines[id] = placement.Machine{
			Store:       store,
			Alive:       s.stores.IsAlive(id, store.Incarnation, now),
			Unconfirmed: s.stores.IsUnconfirmed(id),
			Away:        s.stores.IsAway(id, now),
			Draining:    s.stores.IsDraining(id),
			Retiring:    retiring(store.Node),
		}
	}
	return machines
}

// StoreSilentFor returns how long a store has been silent, in milliseconds.
func (s *Sessions) StoreSilentFor(id uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stores.SilentFor(id, s.now())
}
