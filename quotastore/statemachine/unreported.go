package statemachine

import (
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

// unreportedByKey is what one holder wants added, by the key of the counter.
type unreportedByKey struct {
	ByKey map[string]*unreported `cbor:"1,keyasint"`
}

// unreported is what a holder wants added to one counter in total.
type unreported struct {
	Amount    float64 `cbor:"1,keyasint"`
	Version   uint64  `cbor:"2,keyasint"`
	ExpiresAt float64 `cbor:"3,keyasint"` // with the counter
}

// UnreportedUsage is what a holder whose lease has expired wanted added to a counter.
type UnreportedUsage struct {
	Holder, Key string
	Amount      float64 // in total
	TTL         float64 // of the counter, seconds from now
	Version     uint64
}

// recordUnreported notes what a holder wants added to a counter in total, however much of it has been reported.
func (s *State) recordUnreported(c *Command) Reply {
	if c.Key == "" {
		return Reply{Code: Invalid}
	}
	if !s.extendLease(c.Holder, implicitLeaseTTL) {
		r := Reply{Code: LeaseExpired} // with what stands: nothing is added to it any more
		if all := s.Unreported[c.Holder]; all != nil && all.ByKey[c.Key] != nil {
			r.HolderTotal = all.ByKey[c.Key].Amount
		}
		return r
	}
	all := s.Unreported[c.Holder]
	if all == nil {
		all = &unreportedByKey{ByKey: map[string]*unreported{}}
		s.Unreported[c.Holder] = all
	}
	u := all.ByKey[c.Key]
	if u == nil {
		u = &unreported{ExpiresAt: s.expiry(c.TTL, minCounterTTL, maxCounterTTL)}
		all.ByKey[c.Key] = u
	}
	if c.Version > u.Version {
		u.Amount = c.Amount
		u.Version = c.Version
	}
	return Reply{HolderTotal: u.Amount}
}

// recoverUnreported adds what a holder had not reported to a counter when its lease expired. The second time it adds nothing; what
// the holder itself reports later is refused.
func (s *State) recoverUnreported(c *Command) Reply {
	if c.Key == "" || c.Holder == "" {
		return Reply{Code: Invalid}
	}
	if l := s.lease(c.Holder); !l.Expired { // this group may not have noticed
		l.ExpiresAt = s.Clock
		s.expire()
	}
	counter := s.counter(c.Key, c.TTL)
	account := counter.account(c.Holder)
	if !account.Recovered || mutation.RecoveredUsageAddedTwice {
		if missing := c.Amount - account.Reported; missing > 0 || mutation.RecoveredUsageAddedTwice {
			counter.Total += missing
			account.Reported += missing
		}
		account.Recovered = true
	}
	return Reply{Total: counter.Total, HolderTotal: account.Reported}
}

// clearUnreported removes unreported usage that is recovered; if it has changed since, it stays.
func (s *State) clearUnreported(c *Command) Reply {
	all := s.Unreported[c.Holder]
	if all == nil {
		return Reply{}
	}
	if u := all.ByKey[c.Key]; u != nil && u.Version <= c.Version {
		delete(all.ByKey, c.Key)
	}
	if len(all.ByKey) == 0 {
		delete(s.Unreported, c.Holder)
	}
	return Reply{}
}

// UnrecoveredUsage returns the unreported usage of holders whose leases have expired, which somebody has to recover: at most so much,
// in order. Where the TTL is not above zero the counter's window is over, and nothing needs to be added.
func (s *State) UnrecoveredUsage(limit int) []UnreportedUsage {
	var all []UnreportedUsage
	for _, holder := range slices.Sorted(maps.Keys(s.Unreported)) {
		if l := s.Leases[holder]; l != nil && !l.Expired {
			continue
		}
		byKey := s.Unreported[holder].ByKey
		for _, key := range slices.Sorted(maps.Keys(byKey)) {
			if len(all) >= limit {
				return all
			}
			u := byKey[key]
			all = append(all, UnreportedUsage{Holder: holder, Key: key, Amount: u.Amount, TTL: u.ExpiresAt - s.Clock, Version: u.Version})
		}
	}
	return all
}
