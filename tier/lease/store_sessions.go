package lease

// StoreSessions is the primary's table of store sessions: when each store sent its last heartbeat, and in which incarnation.
type StoreSessions struct {
	stores map[uint64]storeSession
}

type storeSession struct {
	lastSeenAt  int64
	incarnation uint64
	draining    bool
	unconfirmed bool // this primary has not received a heartbeat of the store yet
}

// NewStoreSessions returns an empty table.
func NewStoreSessions() *StoreSessions {
	return &StoreSessions{stores: map[uint64]storeSession{}}
}

// Begin replaces all sessions by new ones of the given stores, which are listed with their incarnations.
func (s *StoreSessions) Begin(incarnations map[uint64]uint64, now int64) {
	s.stores = make(map[uint64]storeSession, len(incarnations))
	for id, incarnation := range incarnations {
		s.stores[id] = storeSession{lastSeenAt: now, incarnation: incarnation, unconfirmed: true}
	}
}

// Expect begins the session of a listed store that has none, because the heartbeat that added it to the list of stores was received
// before Begin.
func (s *StoreSessions) Expect(id, incarnation uint64, now int64) {
	if _, known := s.stores[id]; !known {
		s.stores[id] = storeSession{lastSeenAt: now, incarnation: incarnation, unconfirmed: true}
	}
}

// ExtendAll extends all sessions by a time in which this process was stalled.
func (s *StoreSessions) ExtendAll(span int64) {
	for id, session := range s.stores {
		session.lastSeenAt += span
		s.stores[id] = session
	}
}

// Renew renews the session of a store on a heartbeat of the given incarnation.
func (s *StoreSessions) Renew(id, incarnation uint64, draining bool, now int64) {
	s.stores[id] = storeSession{lastSeenAt: now, incarnation: incarnation, draining: draining}
}

// IsAlive reports whether a store has an unexpired session for the given incarnation.
func (s *StoreSessions) IsAlive(id, incarnation uint64, now int64) bool {
	session, known := s.stores[id]
	if !known || session.incarnation != incarnation {
		return false
	}
	timeout := int64(StoreTimeout)
	if session.unconfirmed {
		timeout = StoreFirstTimeout
	}
	return now-session.lastSeenAt <= timeout
}

// IsUnconfirmed reports whether this primary has not received a heartbeat of the store yet.
func (s *StoreSessions) IsUnconfirmed(id uint64) bool { return s.stores[id].unconfirmed }

// IsAway reports whether a store has been silent for so long that its shards are placed on other stores.
func (s *StoreSessions) IsAway(id uint64, now int64) bool {
	session, known := s.stores[id]
	return !known || now-session.lastSeenAt > StoreAwayAfter
}

// IsDraining reports whether a store has announced that it is shutting down.
func (s *StoreSessions) IsDraining(id uint64) bool { return s.stores[id].draining }

// SilentFor returns how long a store has been silent, in milliseconds.
func (s *StoreSessions) SilentFor(id uint64, now int64) int64 { return now - s.stores[id].lastSeenAt }
