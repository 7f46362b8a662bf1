package statemachine

import (
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

const (
	// minLeaseTTL and maxLeaseTTL bound the time to live of a holder's lease, in seconds.
	minLeaseTTL = 0.1
	maxLeaseTTL = 60.0
	// implicitLeaseTTL is for how long any command of a holder extends its lease, in seconds.
	implicitLeaseTTL = 3.0
	// expiredLeaseTTL is for how long it is remembered that a lease has expired, in seconds: nothing of its holder may come after
	// that.
	expiredLeaseTTL = 600.0
)

// lease is for how long a holder counts as alive.
type lease struct {
	ExpiresAt float64 `cbor:"1,keyasint"`
	Expired   bool    `cbor:"2,keyasint,omitempty"` // its reserved usage is given back; it can't be extended any more
}

func (s *State) renewLease(c *Command) Reply {
	if !s.extendLease(c.Holder, c.TTL) {
		return Reply{Code: LeaseExpired}
	}
	return Reply{}
}

// extendLease extends the lease of a holder and reports whether it has not expired. If it has, what the holder says no longer
// counts.
func (s *State) extendLease(holder string, ttl float64) bool {
	if holder == "" {
		return false
	}
	l := s.lease(holder)
	if l.Expired && !mutation.ExpiredHolderNotFenced {
		return false
	}
	l.ExpiresAt = max(l.ExpiresAt, s.expiry(ttl, minLeaseTTL, maxLeaseTTL))
	return true
}

// lease returns the lease of a holder; a new one has expired until it is extended.
func (s *State) lease(holder string) *lease {
	l := s.Leases[holder]
	if l == nil {
		l = &lease{}
		s.Leases[holder] = l
	}
	return l
}

// HasLiveHolder reports whether the lease of any holder has not expired.
func (s *State) HasLiveHolder() bool {
	for _, l := range s.Leases {
		if !l.Expired {
			return true
		}
	}
	return false
}

// expire removes all that has expired by the group's clock, and gives back what holders whose leases expire had reserved.
func (s *State) expire() {
	maps.DeleteFunc(s.Sessions, func(_ string, x *session) bool { return s.Clock-x.LastUsed > SessionTTL })
	maps.DeleteFunc(s.Counters, func(_ string, c *counter) bool { return c.ExpiresAt <= s.Clock })
	maps.DeleteFunc(s.Markers, func(_ string, m *marker) bool { return m.ExpiresAt <= s.Clock })
	expired := s.expiredHolders()
	s.releaseReserved(expired)
	for _, holder := range expired {
		s.Leases[holder].Expired = true
	}
}

// expiredHolders returns, in order, the holders whose leases have expired since the last call, and forgets leases that have expired
// long ago.
func (s *State) expiredHolders() []string {
	var expired []string
	for holder, l := range s.Leases {
		if l.ExpiresAt > s.Clock {
			continue
		}
		if !l.Expired {
			expired = append(expired, holder)
		} else if l.ExpiresAt+expiredLeaseTTL <= s.Clock && s.Unreported[holder] == nil {
			delete(s.Leases, holder)
		}
	}
	slices.Sort(expired)
	return expired
}

// releaseReserved gives back what holders had reserved. It goes through the counters in the order of their keys, as sums of floating
// point numbers depend on their order.
func (s *State) releaseReserved(holders []string) {
	if len(holders) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(s.Counters)) {
		c := s.Counters[key]
		for _, holder := range holders {
			if a := c.ByHolder[holder]; a != nil && a.Reserved != 0 && !mutation.ExpiredHolderKeepsSlots {
				c.Total -= a.Reserved
				a.Reported -= a.Reserved
				a.Reserved = 0
			}
		}
	}
}
