package statemachine

// This file owns what is held beside counts: debts of holders, marks of deliveries, and use that nobody has billed yet.

import (
	"cmp"
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

// debts are what one holder wants added, by name.
type debts struct {
	Names map[string]*debt `cbor:"1,keyasint"`
}

type debt struct {
	Amount float64 `cbor:"1,keyasint"`
	Order  uint64  `cbor:"2,keyasint"`
	Ends   float64 `cbor:"3,keyasint"` // with the name
}

// owe notes what a holder wants added to a name in all, however much of it has been.
func (s *State) owe(e *Entry) Reply {
	if e.Name == "" {
		return Reply{Code: Bad}
	}
	if !s.there(e.Holder, holderLife) {
		r := Reply{Code: Gone} // with what stands: nothing is added to it any more
		if d := s.Debts[e.Holder]; d != nil && d.Names[e.Name] != nil {
			r.Own = d.Names[e.Name].Amount
		}
		return r
	}
	all := s.Debts[e.Holder]
	if all == nil {
		all = &debts{Names: map[string]*debt{}}
		s.Debts[e.Holder] = all
	}
	d := all.Names[e.Name]
	if d == nil {
		d = &debt{Ends: s.Clock + min(max(e.Life, 0.001), longest)}
		all.Names[e.Name] = d
	}
	if e.Order > d.Order {
		d.Amount, d.Order = e.Amount, e.Order
	}
	return Reply{Own: d.Amount}
}

// close adds what a dead holder owed for a name and nobody has added. Said twice, it adds nothing; what the holder itself
// says later of the name is not heard.
func (s *State) close(e *Entry) Reply {
	if e.Name == "" || e.Holder == "" {
		return Reply{Code: Bad}
	}
	h := s.holder(e.Holder)
	if !h.Gone { // this group may not have noticed
		h.Ends = s.Clock
		s.sweep()
	}
	c := s.named(e.Name, e.Life)
	p := c.part(e.Holder)
	if !p.Closed || mutation.KeepTwice {
		if more := e.Amount - p.Sum; more > 0 || mutation.KeepTwice {
			c.Sum += more
			p.Sum += more
		}
		p.Closed = true
	}
	return Reply{Total: c.Sum, Own: p.Sum}
}

// paid lets go of a debt that is put back; one that has changed since stays.
func (s *State) paid(e *Entry) Reply {
	all := s.Debts[e.Holder]
	if all == nil {
		return Reply{}
	}
	if d := all.Names[e.Name]; d != nil && d.Order <= e.Order {
		delete(all.Names, e.Name)
	}
	if len(all.Names) == 0 {
		delete(s.Debts, e.Holder)
	}
	return Reply{}
}

// Open gives debts of holders that are gone, which somebody has to put back: at most so many, in order. One whose name
// has run out is owed to nobody: its window is over.
func (s *State) Open(most int) (all []Debt) {
	for _, id := range slices.Sorted(maps.Keys(s.Debts)) {
		if h := s.Holders[id]; h != nil && !h.Gone {
			continue
		}
		names := s.Debts[id].Names
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if len(all) >= most {
				return all
			}
			d := names[name]
			all = append(all, Debt{Holder: id, Name: name, Amount: d.Amount, Life: d.Ends - s.Clock, Order: d.Order})
		}
	}
	return all
}

// mark is a delivery that has begun.
type mark struct {
	Holder string  `cbor:"1,keyasint"`
	Scope  string  `cbor:"2,keyasint,omitempty"`
	Ends   float64 `cbor:"3,keyasint"`
}

// mark notes that a delivery is about to begin. A second one is let through where a repeat is harmless: in the same group
// of hosts, within the time.
func (s *State) mark(e *Entry) Reply {
	if e.Name == "" || e.Holder == "" {
		return Reply{Code: Bad}
	}
	if m := s.Marks[e.Name]; m != nil && m.Ends > s.Clock {
		if (e.Scope == "" || e.Scope != m.Scope) && !mutation.KeepMarksAgain {
			return Reply{Code: Known, Who: m.Holder}
		}
		return Reply{Who: m.Holder}
	}
	s.Marks[e.Name] = &mark{Holder: e.Holder, Scope: e.Scope, Ends: s.Clock + min(max(e.Life, 0.1), longestMark)}
	return Reply{}
}

// unmark lets go of the mark of a delivery that never ran; only whose it is may say so.
func (s *State) unmark(e *Entry) Reply {
	if m := s.Marks[e.Name]; m != nil && m.Holder == e.Holder {
		delete(s.Marks, e.Name)
	}
	return Reply{}
}

// uses are what holders have counted, and what of it was handed out.
type uses struct {
	Of    map[string]map[string]*used `cbor:"1,keyasint"` // by holder and customer
	Batch uint64                      `cbor:"2,keyasint"` // the last handed out
	Last  []Used                      `cbor:"3,keyasint"` // what it held
}

type used struct {
	Sum    float64 `cbor:"1,keyasint"`
	Handed float64 `cbor:"3,keyasint"`
	At     float64 `cbor:"4,keyasint"` // when it last grew
}

func newUses() *uses { return &uses{Of: map[string]map[string]*used{}} }

// use takes what a holder has counted for a customer in all. It only grows, so a word told twice, late or out of order
// changes nothing, and a holder that is given up has still counted what it has.
func (s *State) use(e *Entry) Reply {
	if e.Name == "" || e.Holder == "" || e.Amount < 0 {
		return Reply{Code: Bad}
	}
	of := s.Uses.Of[e.Holder]
	if of == nil {
		of = map[string]*used{}
		s.Uses.Of[e.Holder] = of
	}
	u := of[e.Name]
	if u == nil {
		u = &used{}
		of[e.Name] = u
	}
	if e.Amount > u.Sum {
		u.Sum, u.At = e.Amount, s.Clock
	}
	return Reply{Own: u.Sum}
}

// take hands out a batch. Its number again gives the same batch again; the next number says that it was taken over. What
// was handed out and has not grown for long is let go of.
func (s *State) take(e *Entry) Reply {
	switch e.Order {
	case s.Uses.Batch:
		if mutation.KeepTakesAnew {
			break
		}
		return Reply{Uses: s.Uses.Last, Batch: e.Order}
	case s.Uses.Batch + 1:
	default:
		return Reply{Code: Bad, Batch: s.Uses.Batch}
	}
	sum := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.Uses.Of)) {
		for _, who := range slices.Sorted(maps.Keys(s.Uses.Of[id])) {
			u := s.Uses.Of[id][who]
			if more := u.Sum - u.Handed; more > 0 {
				sum[who] += more
				u.Handed = u.Sum
			} else if u.At+rest <= s.Clock { // a holder says the same thing again for seconds at most
				delete(s.Uses.Of[id], who)
			}
		}
	}
	maps.DeleteFunc(s.Uses.Of, func(_ string, of map[string]*used) bool { return len(of) == 0 })
	list := make([]Used, 0, len(sum))
	for who, units := range sum {
		list = append(list, Used{who, units})
	}
	slices.SortFunc(list, func(a, b Used) int { return cmp.Compare(a.Customer, b.Customer) })
	s.Uses.Batch, s.Uses.Last = e.Order, list
	return Reply{Uses: list, Batch: e.Order}
}

// Marked says whether a delivery's mark is held.
func (s *State) Marked(ref string) bool {
	m := s.Marks[ref]
	return m != nil && m.Ends > s.Clock
}
