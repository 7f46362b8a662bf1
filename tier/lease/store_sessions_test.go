package lease

import "testing"

func TestUnconfirmedStoreGetsLongerTimeout(t *testing.T) {
	s := NewStoreSessions()
	s.Begin(map[uint64]uint64{5: 1}, 1000)
	if !s.IsAlive(5, 1, 1000+StoreFirstTimeout) || s.IsAlive(5, 1, 1001+StoreFirstTimeout) {
		t.Fatal("wrong expiry before the first heartbeat")
	}
	s.Renew(5, 1, false, 2000)
	if !s.IsAlive(5, 1, 2000+StoreTimeout) || s.IsAlive(5, 1, 2001+StoreTimeout) || s.IsAlive(5, 2, 2000) {
		t.Fatal("wrong expiry after a heartbeat, or alive in another incarnation")
	}
}

// A store that was added to the list by a heartbeat received before Begin must not count as one that has been silent for a long time.
func TestExpectBeginsSessionOfListedStore(t *testing.T) {
	s := NewStoreSessions()
	s.Begin(map[uint64]uint64{}, 50_000)
	s.Expect(5, 1, 50_100)
	s.Expect(5, 1, 50_200)
	if silence := s.SilentFor(5, 50_300); silence != 200 || s.IsAway(5, 50_300) || !s.IsAlive(5, 1, 50_300) {
		t.Fatalf("silent for %d ms, or away, or not alive", silence)
	}
	if !s.IsAway(5, 50_101+StoreAwayAfter) {
		t.Fatal("the store is never away")
	}
}
