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
	// implicitLeaseTTL is the time to live, in seconds, to which a report or record of a holder extends its lease.
	implicitLeaseTTL = 3.0
	// expiredLeaseTTL is how long an expired lease is kept, in seconds. No command of its holder may arrive later than that.
	expiredLeaseTTL = 600.0
)

// lease is the time up to which a holder counts as alive.
type lease struct {
	ExpiresAt float64 `cbor:"1,keyasint"`
	Expired   bool    `cbor:"2,keyasint,omitempty"` // the reserved usage was released; the lease can't be extended any more
}

func (s *State) renewLease(c *Command) Reply {
	if !s.extendLease(c.Holder, c.TTL) {
		return Reply{Code: LeaseExpired}
	}
	return Reply{}
}

// extendLease extends the lease of a holder and reports whether the lease is live. If it has expired, the command of the holder must
// be rejected.
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

// lease returns the lease of a holder. If there is none it creates one with expiry time zero, which expires unless it is extended.
func (s *State) lease(holder string) *lease {
	l := s.Leases[holder]
	if l == nil {
		l = &lease{}
		s.Leases[holder] = l
	}
	return l
}

// HasLiveHolder reports whether any holder has a lease that has not expired.
func (s *State) HasLiveHolder() bool {
	for _, l := range s.Leases {
		if !l.Expired {
			return true
		}
	}
	return false
}

// expire removes all entries that have expired by the group's clock, marks leases as expired and releases the usage that their
// holders had reserved.
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

// expiredHolders returns, in order, the holders whose leases have expired since the last call. It deletes leases that expired more
// than expiredLeaseTTL ago and have no unreported usage left.
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

// releaseReserved subtracts what holders had reserved from the counters. It visits the counters in the order of their keys, and the
// holders in their order, because floating-point sums depend on the order of the terms.
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
