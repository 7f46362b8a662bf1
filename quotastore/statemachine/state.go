package statemachine

// This file owns the state and the order in which an entry changes it: the clock first, then what has run out by it, then the
// entry itself.

import (
	"maps"
	"math"
	"slices"

	"otterseam/internal/mutation"
)

const (
	// SessionLife is how long a session without an entry is remembered, in seconds of the group's clock.
	SessionLife = 60.0
	// OpenFresh is how old the clock in an Open may be. It is below SessionLife, so that an Open that was held up on its way
	// can't bring back a session whose answers are forgotten.
	OpenFresh = 20.0
	// longest is the longest life of a name, as the counter's protocol says, and of a mark.
	longest     = 60.0
	longestMark = 3600.0
	// rest is for how long it is remembered that a holder was given up: nothing of it may come after that.
	rest = 600.0
)

// State is what one group of copies holds.
type State struct {
	Clock    float64             `cbor:"1,keyasint"`
	SweepAt  float64             `cbor:"2,keyasint"`
	Sessions map[string]*session `cbor:"3,keyasint"`
	Counts   map[string]*count   `cbor:"4,keyasint"`
	Holders  map[string]*holder  `cbor:"5,keyasint"`
	Debts    map[string]*debts   `cbor:"6,keyasint"` // by holder
	Marks    map[string]*mark    `cbor:"7,keyasint"` // by invocation
	Uses     *uses               `cbor:"8,keyasint"`
}

type session struct {
	Low     uint64           `cbor:"1,keyasint"`
	Answers map[uint64]Reply `cbor:"2,keyasint,omitempty"`
	Last    float64          `cbor:"3,keyasint"`
}

// count is a name's sum, and what of it is whose, where that is known.
type count struct {
	Sum  float64          `cbor:"1,keyasint"`
	Ends float64          `cbor:"2,keyasint"`
	Of   map[string]*part `cbor:"3,keyasint,omitempty"`
}

type part struct {
	Sum    float64 `cbor:"1,keyasint"`
	Places float64 `cbor:"2,keyasint,omitempty"`
	Order  uint64  `cbor:"3,keyasint"`
	Closed bool    `cbor:"4,keyasint,omitempty"` // put back for its dead holder
}

type holder struct {
	Ends float64 `cbor:"1,keyasint"`
	Gone bool    `cbor:"2,keyasint,omitempty"`
}

// New is the state of a group that has just been founded.
func New() *State {
	return &State{
		Sessions: map[string]*session{}, Counts: map[string]*count{}, Holders: map[string]*holder{},
		Debts: map[string]*debts{}, Marks: map[string]*mark{}, Uses: newUses(),
	}
}

// Apply takes a batch and answers its entries, in their order.
func (s *State) Apply(b *Batch) []Reply {
	if b.Clock > s.Clock && !math.IsInf(b.Clock, 0) { // NaN compares false; a clock never goes back
		s.Clock = b.Clock
	}
	if s.Clock >= s.SweepAt {
		s.sweep()
		s.SweepAt = s.Clock + 0.25
	}
	replies := make([]Reply, len(b.Entries))
	for i := range b.Entries {
		replies[i] = s.one(&b.Entries[i])
		replies[i].Clock = s.Clock
	}
	return replies
}

// Idle says that nothing here runs out with time.
func (s *State) Idle() bool {
	return len(s.Sessions)+len(s.Counts)+len(s.Holders)+len(s.Debts)+len(s.Marks) == 0
}

func (s *State) one(e *Entry) Reply {
	if e.Kind >= kinds || bad(e.Amount) || bad(e.Places) || bad(e.Life) || len(e.Name) > 256 || len(e.Holder) > 128 {
		return Reply{Code: Bad}
	}
	if e.Kind == Open {
		return s.open(e)
	}
	if e.Session == "" {
		return s.do(e)
	}
	own := s.Sessions[e.Session]
	if own == nil {
		return Reply{Code: NoSession}
	}
	own.Last = s.Clock
	if e.Number < own.Low {
		return Reply{Code: Passed}
	}
	if r, known := own.Answers[e.Number]; known {
		return r
	}
	if e.Low > own.Low {
		own.Low = e.Low
		maps.DeleteFunc(own.Answers, func(n uint64, _ Reply) bool { return n < e.Low })
	}
	r := s.do(e)
	if own.Answers == nil {
		own.Answers = map[uint64]Reply{}
	}
	own.Answers[e.Number] = r
	return r
}

func bad(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

// open begins a session. One that comes after its time is not: what follows it may have been made already.
func (s *State) open(e *Entry) Reply {
	if e.Session == "" || s.Clock-e.Clock > OpenFresh {
		return Reply{Code: Bad}
	}
	if s.Sessions[e.Session] == nil {
		s.Sessions[e.Session] = &session{}
	}
	s.Sessions[e.Session].Last = s.Clock
	return Reply{}
}

func (s *State) do(e *Entry) Reply {
	switch e.Kind {
	case Tick:
		return Reply{}
	case Add:
		return s.add(e)
	case Put:
		return s.put(e)
	case Renew:
		if !s.there(e.Holder, e.Life) {
			return Reply{Code: Gone}
		}
		return Reply{}
	case Owe:
		return s.owe(e)
	case Close:
		return s.close(e)
	case Paid:
		return s.paid(e)
	case Mark:
		return s.mark(e)
	case Unmark:
		return s.unmark(e)
	case Use:
		return s.use(e)
	case Take:
		return s.take(e)
	}
	return Reply{Code: Bad}
}

// named gives a name's count; a new one begins at nought and lives as long as its first add says.
func (s *State) named(name string, life float64) *count {
	c := s.Counts[name]
	if c == nil || c.Ends <= s.Clock {
		c = &count{Ends: s.Clock + min(max(life, 0.001), longest)}
		s.Counts[name] = c
	}
	return c
}

func (s *State) add(e *Entry) Reply {
	if e.Name == "" {
		return Reply{Code: Bad}
	}
	c := s.named(e.Name, e.Life)
	c.Sum += e.Amount
	return Reply{Total: c.Sum}
}

// there renews a holder; false: it was given up, and what it says no longer counts.
func (s *State) there(id string, life float64) bool {
	if id == "" {
		return false
	}
	h := s.holder(id)
	if h.Gone && !mutation.KeepUnfenced {
		return false
	}
	h.Ends = max(h.Ends, s.Clock+min(max(life, 0.1), longest))
	return true
}

func (s *State) holder(id string) *holder {
	h := s.Holders[id]
	if h == nil {
		h = &holder{}
		s.Holders[id] = h
	}
	return h
}

// part is what of a count is a holder's.
func (c *count) part(holder string) *part {
	if c.Of == nil {
		c.Of = map[string]*part{}
	}
	p := c.Of[holder]
	if p == nil {
		p = &part{}
		c.Of[holder] = p
	}
	return p
}

// put brings a holder's part of a name to what it says. Guards against an add that was made and not answered: told again,
// it changes nothing.
func (s *State) put(e *Entry) Reply {
	if e.Name == "" {
		return Reply{Code: Bad}
	}
	if !s.there(e.Holder, holderLife) {
		r := Reply{Code: Gone}
		if c := s.Counts[e.Name]; c != nil && c.Ends > s.Clock {
			if r.Total = c.Sum; c.Of[e.Holder] != nil {
				r.Own = c.Of[e.Holder].Sum
			}
		}
		return r
	}
	c := s.named(e.Name, e.Life)
	p := c.part(e.Holder)
	if e.Order > p.Order {
		c.Sum += e.Amount - p.Sum
		p.Sum, p.Places, p.Order = e.Amount, e.Places, e.Order
	}
	return Reply{Total: c.Sum, Own: p.Sum}
}

// holderLife is for how long a holder is held to be there after what it said last, in seconds.
const holderLife = 3.0

// sweep lets go of what has run out. What a dead holder held of names is given back here, in the order of their names, since
// sums of floating point numbers depend on their order.
func (s *State) sweep() {
	maps.DeleteFunc(s.Sessions, func(_ string, x *session) bool { return s.Clock-x.Last > SessionLife })
	maps.DeleteFunc(s.Counts, func(_ string, c *count) bool { return c.Ends <= s.Clock })
	maps.DeleteFunc(s.Marks, func(_ string, m *mark) bool { return m.Ends <= s.Clock })
	var dead []string
	for id, h := range s.Holders {
		if h.Ends > s.Clock {
			continue
		}
		if !h.Gone {
			dead = append(dead, id)
		} else if h.Ends+rest <= s.Clock && s.Debts[id] == nil {
			delete(s.Holders, id)
		}
	}
	if len(dead) == 0 {
		return
	}
	slices.Sort(dead)
	for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
		c := s.Counts[name]
		for _, id := range dead {
			if p := c.Of[id]; p != nil && p.Places != 0 && !mutation.KeepNoPlaces {
				c.Sum -= p.Places
				p.Sum -= p.Places
				p.Places = 0
			}
		}
	}
	for _, id := range dead {
		s.Holders[id].Gone = true
	}
}

// Own is what a holder has added to a name in all.
func (s *State) Own(name, holder string) float64 {
	if c := s.Counts[name]; c != nil && c.Of[holder] != nil {
		return c.Of[holder].Sum
	}
	return 0
}

// Alive says that a holder is held to be there.
func (s *State) Alive() bool {
	for _, h := range s.Holders {
		if !h.Gone {
			return true
		}
	}
	return false
}
