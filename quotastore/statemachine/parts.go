package statemachine

// This file owns what is held beside counts: debts of holders, marks of deliveries, and use that nobody has billed yet.

import (
	"cmp"
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

// debts are what one holder wants added, by name.
type unreportedByKey struct {
	ByKey map[string]*unreported `cbor:"1,keyasint"`
}

type unreported struct {
	Amount    float64 `cbor:"1,keyasint"`
	Version   uint64  `cbor:"2,keyasint"`
	ExpiresAt float64 `cbor:"3,keyasint"` // with the name
}

// owe notes what a holder wants added to a name in all, however much of it has been.
func (s *State) recordUnreported(e *Command) Reply {
	if e.Key == "" {
		return Reply{Code: Invalid}
	}
	if !s.renewLease(e.Holder, implicitLeaseTTL) {
		r := Reply{Code: LeaseExpired} // with what stands: nothing is added to it any more
		if d := s.Unreported[e.Holder]; d != nil && d.ByKey[e.Key] != nil {
			r.HolderTotal = d.ByKey[e.Key].Amount
		}
		return r
	}
	all := s.Unreported[e.Holder]
	if all == nil {
		all = &unreportedByKey{ByKey: map[string]*unreported{}}
		s.Unreported[e.Holder] = all
	}
	d := all.ByKey[e.Key]
	if d == nil {
		d = &unreported{ExpiresAt: s.Clock + min(max(e.TTL, 0.001), maxCounterTTL)}
		all.ByKey[e.Key] = d
	}
	if e.Version > d.Version {
		d.Amount, d.Version = e.Amount, e.Version
	}
	return Reply{HolderTotal: d.Amount}
}

// close adds what a dead holder owed for a name and nobody has added. Said twice, it adds nothing; what the holder itself
// says later of the name is not heard.
func (s *State) recoverUnreported(e *Command) Reply {
	if e.Key == "" || e.Holder == "" {
		return Reply{Code: Invalid}
	}
	h := s.lease(e.Holder)
	if !h.Expired { // this group may not have noticed
		h.ExpiresAt = s.Clock
		s.expire()
	}
	c := s.counter(e.Key, e.TTL)
	p := c.account(e.Holder)
	if !p.Recovered || mutation.KeepTwice {
		if more := e.Amount - p.Reported; more > 0 || mutation.KeepTwice {
			c.Total += more
			p.Reported += more
		}
		p.Recovered = true
	}
	return Reply{Total: c.Total, HolderTotal: p.Reported}
}

// paid lets go of a debt that is put back; one that has changed since stays.
func (s *State) clearUnreported(e *Command) Reply {
	all := s.Unreported[e.Holder]
	if all == nil {
		return Reply{}
	}
	if d := all.ByKey[e.Key]; d != nil && d.Version <= e.Version {
		delete(all.ByKey, e.Key)
	}
	if len(all.ByKey) == 0 {
		delete(s.Unreported, e.Holder)
	}
	return Reply{}
}

// Open gives debts of holders that are gone, which somebody has to put back: at most so many, in order. One whose name
// has run out is owed to nobody: its window is over.
func (s *State) UnrecoveredUsage(most int) (all []UnreportedUsage) {
	for _, id := range slices.Sorted(maps.Keys(s.Unreported)) {
		if h := s.Leases[id]; h != nil && !h.Expired {
			continue
		}
		names := s.Unreported[id].ByKey
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if len(all) >= most {
				return all
			}
			d := names[name]
			all = append(all, UnreportedUsage{Holder: id, Key: name, Amount: d.Amount, TTL: d.ExpiresAt - s.Clock, Version: d.Version})
		}
	}
	return all
}

// mark is a delivery that has begun.
type marker struct {
	Holder    string  `cbor:"1,keyasint"`
	Scope     string  `cbor:"2,keyasint,omitempty"`
	ExpiresAt float64 `cbor:"3,keyasint"`
}

// mark notes that a delivery is about to begin. A second one is let through where a repeat is harmless: in the same group
// of hosts, within the time.
func (s *State) acquireMarker(e *Command) Reply {
	if e.Key == "" || e.Holder == "" {
		return Reply{Code: Invalid}
	}
	if m := s.Markers[e.Key]; m != nil && m.ExpiresAt > s.Clock {
		if (e.Scope == "" || e.Scope != m.Scope) && !mutation.KeepMarksAgain {
			return Reply{Code: MarkerHeld, MarkerHolder: m.Holder}
		}
		return Reply{MarkerHolder: m.Holder}
	}
	s.Markers[e.Key] = &marker{Holder: e.Holder, Scope: e.Scope, ExpiresAt: s.Clock + min(max(e.TTL, 0.1), maxMarkerTTL)}
	return Reply{}
}

// unmark lets go of the mark of a delivery that never ran; only whose it is may say so.
func (s *State) releaseMarker(e *Command) Reply {
	if m := s.Markers[e.Key]; m != nil && m.Holder == e.Holder {
		delete(s.Markers, e.Key)
	}
	return Reply{}
}

// uses are what holders have counted, and what of it was handed out.
type metering struct {
	ByHolder  map[string]map[string]*meter `cbor:"1,keyasint"` // by holder and customer
	Batch     uint64                       `cbor:"2,keyasint"` // the last handed out
	LastBatch []CustomerUsage              `cbor:"3,keyasint"` // what it held
}

type meter struct {
	Total       float64 `cbor:"1,keyasint"`
	Collected   float64 `cbor:"3,keyasint"`
	IncreasedAt float64 `cbor:"4,keyasint"` // when it last grew
}

func newMetering() *metering { return &metering{ByHolder: map[string]map[string]*meter{}} }

// use takes what a holder has counted for a customer in all. It only grows, so a word told twice, late or out of order
// changes nothing, and a holder that is given up has still counted what it has.
func (s *State) meterUsage(e *Command) Reply {
	if e.Key == "" || e.Holder == "" || e.Amount < 0 {
		return Reply{Code: Invalid}
	}
	of := s.Metering.ByHolder[e.Holder]
	if of == nil {
		of = map[string]*meter{}
		s.Metering.ByHolder[e.Holder] = of
	}
	u := of[e.Key]
	if u == nil {
		u = &meter{}
		of[e.Key] = u
	}
	if e.Amount > u.Total {
		u.Total, u.IncreasedAt = e.Amount, s.Clock
	}
	return Reply{HolderTotal: u.Total}
}

// take hands out a batch. Its number again gives the same batch again; the next number says that it was taken over. What
// was handed out and has not grown for long is let go of.
func (s *State) collectUsage(e *Command) Reply {
	switch e.Version {
	case s.Metering.Batch:
		if mutation.KeepTakesAnew {
			break
		}
		return Reply{Usage: s.Metering.LastBatch, Batch: e.Version}
	case s.Metering.Batch + 1:
	default:
		return Reply{Code: Invalid, Batch: s.Metering.Batch}
	}
	sum := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.Metering.ByHolder)) {
		for _, who := range slices.Sorted(maps.Keys(s.Metering.ByHolder[id])) {
			u := s.Metering.ByHolder[id][who]
			if more := u.Total - u.Collected; more > 0 {
				sum[who] += more
				u.Collected = u.Total
			} else if u.IncreasedAt+expiredLeaseTTL <= s.Clock { // a holder says the same thing again for seconds at most
				delete(s.Metering.ByHolder[id], who)
			}
		}
	}
	maps.DeleteFunc(s.Metering.ByHolder, func(_ string, of map[string]*meter) bool { return len(of) == 0 })
	list := make([]CustomerUsage, 0, len(sum))
	for who, units := range sum {
		list = append(list, CustomerUsage{who, units})
	}
	slices.SortFunc(list, func(a, b CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	s.Metering.Batch, s.Metering.LastBatch = e.Version, list
	return Reply{Usage: list, Batch: e.Version}
}

// Marked says whether a delivery's mark is held.
func (s *State) HasMarker(ref string) bool {
	m := s.Markers[ref]
	return m != nil && m.ExpiresAt > s.Clock
}
