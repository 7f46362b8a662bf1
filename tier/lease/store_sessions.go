package lease

// StoreSessions is who of the stores was heard when, and in which of its boots. The primary keeps it.
type StoreSessions struct {
	stores map[uint64]storeSession
}

type storeSession struct {
	heardAt     int64
	boot        uint64
	draining    bool
	unconfirmed bool // this primary has not heard the store yet
}

// NewStoreSessions makes an empty table.
func NewStoreSessions() *StoreSessions {
	return &StoreSessions{stores: map[uint64]storeSession{}}
}

// Begin starts the sessions of all stores anew; boots names the start of each.
func (s *StoreSessions) Begin(boots map[uint64]uint64, now int64) {
	s.stores = make(map[uint64]storeSession, len(boots))
	for id, boot := range boots {
		s.stores[id] = storeSession{heardAt: now, boot: boot, unconfirmed: true}
	}
}

// Expect begins the session of a store that is on the list and has none: it was put there by a heartbeat that came before the
// sessions were begun.
func (s *StoreSessions) Expect(id, boot uint64, now int64) {
	if _, known := s.stores[id]; !known {
		s.stores[id] = storeSession{heardAt: now, boot: boot, unconfirmed: true}
	}
}

// ExtendAll makes up for the time in which this process stood still.
func (s *StoreSessions) ExtendAll(span int64) {
	for id, session := range s.stores {
		session.heardAt += span
		s.stores[id] = session
	}
}

// Renew renews the session of a store, by the boot that sent the heartbeat.
func (s *StoreSessions) Renew(id, boot uint64, draining bool, now int64) {
	s.stores[id] = storeSession{heardAt: now, boot: boot, draining: draining}
}

// IsAlive tells whether a store's session of that start of its holds.
func (s *StoreSessions) IsAlive(id, boot uint64, now int64) bool {
	session, known := s.stores[id]
	if !known || session.boot != boot {
		return false
	}
	timeout := int64(StoreTimeout)
	if session.unconfirmed {
		timeout = StoreFirstTimeout
	}
	return now-session.heardAt <= timeout
}

// IsUnconfirmed tells whether this primary has not heard the store yet.
func (s *StoreSessions) IsUnconfirmed(id uint64) bool { return s.stores[id].unconfirmed }

// IsAway tells whether a store was silent for so long that what it holds is placed elsewhere.
func (s *StoreSessions) IsAway(id uint64, now int64) bool {
	session, known := s.stores[id]
	return !known || now-session.heardAt > StoreAwayAfter
}

// IsDraining tells whether a store said that it is about to end.
func (s *StoreSessions) IsDraining(id uint64) bool { return s.stores[id].draining }

// SilentFor is how long a store has been silent.
func (s *StoreSessions) SilentFor(id uint64, now int64) int64 { return now - s.stores[id].heardAt }
