package statemachine

import (
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

// unreportedByKey is the unreported usage of one holder, by the key of the counter.
type unreportedByKey struct {
	ByKey map[string]*unreported `cbor:"1,keyasint"`
}

// unreported is the total that a holder wants added to one counter, reported or not.
type unreported struct {
	Amount    float64 `cbor:"1,keyasint"`
	Version   uint64  `cbor:"2,keyasint"`
	ExpiresAt float64 `cbor:"3,keyasint"` // expiry time of the counter
}

// UnreportedUsage is the total that a holder whose lease has expired wanted added to a counter.
type UnreportedUsage struct {
	Holder, Key string
	Amount      float64 // in total
	TTL         float64 // of the counter, in seconds from now
	Version     uint64
}

// recordUnreported stores the total that a holder wants added to a counter, however much of it has been reported.
func (s *State) recordUnreported(c *Command) Reply {
	if c.Key == "" {
		return Reply{Code: Invalid}
	}
	if !s.extendLease(c.Holder, implicitLeaseTTL) {
		r := Reply{Code: LeaseExpired} // with the recorded amount, which is final
		if usage := s.Unreported[c.Holder]; usage != nil && usage.ByKey[c.Key] != nil {
			r.HolderTotal = usage.ByKey[c.Key].Amount
		}
		return r
	}
	usage := s.Unreported[c.Holder]
	if usage == nil {
		usage = &unreportedByKey{ByKey: map[string]*unreported{}}
		s.Unreported[c.Holder] = usage
	}
	u := usage.ByKey[c.Key]
	if u == nil {
		u = &unreported{ExpiresAt: s.expiry(c.TTL, minCounterTTL, maxCounterTTL)}
		usage.ByKey[c.Key] = u
	}
	if c.Version > u.Version {
		u.Amount = c.Amount
		u.Version = c.Version
	}
	return Reply{HolderTotal: u.Amount}
}

// recoverUnreported adds to a counter what a holder had not reported when its lease expired. If it is repeated it adds nothing.
// Later reports of the holder itself are rejected.
func (s *State) recoverUnreported(c *Command) Reply {
	if c.Key == "" || c.Holder == "" {
		return Reply{Code: Invalid}
	}
	if l := s.lease(c.Holder); !l.Expired { // the lease may not have expired in this group yet
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

// clearUnreported removes unreported usage after its recovery, unless it has a newer version than the one recovered.
func (s *State) clearUnreported(c *Command) Reply {
	usage := s.Unreported[c.Holder]
	if usage == nil {
		return Reply{}
	}
	if u := usage.ByKey[c.Key]; u != nil && u.Version <= c.Version {
		delete(usage.ByKey, c.Key)
	}
	if len(usage.ByKey) == 0 {
		delete(s.Unreported, c.Holder)
	}
	return Reply{}
}

// UnrecoveredUsage returns the unreported usage of holders whose leases have expired and that has yet to be recovered: at most limit
// entries, in the order of holders and keys. If the TTL of an entry is not positive the counter has expired, and nothing needs to be
// added.
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
