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
	SessionTTL = 60.0
	// OpenFresh is how old the clock in an Open may be. It is below SessionLife, so that an Open that was held up on its way
	// can't bring back a session whose answers are forgotten.
	MaxOpenSessionAge = 20.0
	// longest is the longest life of a name, as the counter's protocol says, and of a mark.
	maxCounterTTL = 60.0
	maxMarkerTTL  = 3600.0
	// rest is for how long it is remembered that a holder was given up: nothing of it may come after that.
	expiredLeaseTTL = 600.0
)

// State is what one group of copies holds.
type State struct {
	Clock      float64                     `cbor:"1,keyasint"`
	NextSweep  float64                     `cbor:"2,keyasint"`
	Sessions   map[string]*session         `cbor:"3,keyasint"`
	Counters   map[string]*counter         `cbor:"4,keyasint"`
	Leases     map[string]*lease           `cbor:"5,keyasint"`
	Unreported map[string]*unreportedByKey `cbor:"6,keyasint"` // by holder
	Markers    map[string]*marker          `cbor:"7,keyasint"` // by invocation
	Metering   *metering                   `cbor:"8,keyasint"`
}

type session struct {
	AckedBelow uint64           `cbor:"1,keyasint"`
	Replies    map[uint64]Reply `cbor:"2,keyasint,omitempty"`
	LastUsed   float64          `cbor:"3,keyasint"`
}

// count is a name's sum, and what of it is whose, where that is known.
type counter struct {
	Total     float64             `cbor:"1,keyasint"`
	ExpiresAt float64             `cbor:"2,keyasint"`
	ByHolder  map[string]*account `cbor:"3,keyasint,omitempty"`
}

type account struct {
	Reported  float64 `cbor:"1,keyasint"`
	Reserved  float64 `cbor:"2,keyasint,omitempty"`
	Version   uint64  `cbor:"3,keyasint"`
	Recovered bool    `cbor:"4,keyasint,omitempty"` // put back for its dead holder
}

type lease struct {
	ExpiresAt float64 `cbor:"1,keyasint"`
	Expired   bool    `cbor:"2,keyasint,omitempty"`
}

// New is the state of a group that has just been founded.
func New() *State {
	return &State{
		Sessions: map[string]*session{}, Counters: map[string]*counter{}, Leases: map[string]*lease{},
		Unreported: map[string]*unreportedByKey{}, Markers: map[string]*marker{}, Metering: newMetering(),
	}
}

// Apply takes a batch and answers its entries, in their order.
func (s *State) Apply(b *Batch) []Reply {
	if b.Clock > s.Clock && !math.IsInf(b.Clock, 0) { // NaN compares false; a clock never goes back
		s.Clock = b.Clock
	}
	if s.Clock >= s.NextSweep {
		s.expire()
		s.NextSweep = s.Clock + 0.25
	}
	replies := make([]Reply, len(b.Commands))
	for i := range b.Commands {
		replies[i] = s.applyCommand(&b.Commands[i])
		replies[i].Clock = s.Clock
	}
	return replies
}

// Idle says that nothing here runs out with time.
func (s *State) Idle() bool {
	return len(s.Sessions)+len(s.Counters)+len(s.Leases)+len(s.Unreported)+len(s.Markers) == 0
}

func (s *State) applyCommand(e *Command) Reply {
	if e.Kind >= kindCount || notFinite(e.Amount) || notFinite(e.Reserved) || notFinite(e.TTL) || len(e.Key) > 256 || len(e.Holder) > 128 {
		return Reply{Code: Invalid}
	}
	if e.Kind == OpenSession {
		return s.openSession(e)
	}
	if e.Session == "" {
		return s.execute(e)
	}
	own := s.Sessions[e.Session]
	if own == nil {
		return Reply{Code: UnknownSession}
	}
	own.LastUsed = s.Clock
	if e.Sequence < own.AckedBelow {
		return Reply{Code: ResultDiscarded}
	}
	if r, known := own.Replies[e.Sequence]; known {
		return r
	}
	if e.AckedBelow > own.AckedBelow {
		own.AckedBelow = e.AckedBelow
		maps.DeleteFunc(own.Replies, func(n uint64, _ Reply) bool { return n < e.AckedBelow })
	}
	r := s.execute(e)
	if own.Replies == nil {
		own.Replies = map[uint64]Reply{}
	}
	own.Replies[e.Sequence] = r
	return r
}

func notFinite(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

// open begins a session. One that comes after its time is not: what follows it may have been made already.
func (s *State) openSession(e *Command) Reply {
	if e.Session == "" || s.Clock-e.Clock > MaxOpenSessionAge {
		return Reply{Code: Invalid}
	}
	if s.Sessions[e.Session] == nil {
		s.Sessions[e.Session] = &session{}
	}
	s.Sessions[e.Session].LastUsed = s.Clock
	return Reply{}
}

func (s *State) execute(e *Command) Reply {
	switch e.Kind {
	case Tick:
		return Reply{}
	case Add:
		return s.add(e)
	case ReportUsage:
		return s.reportUsage(e)
	case RenewLease:
		if !s.renewLease(e.Holder, e.TTL) {
			return Reply{Code: LeaseExpired}
		}
		return Reply{}
	case RecordUnreported:
		return s.recordUnreported(e)
	case RecoverUnreported:
		return s.recoverUnreported(e)
	case ClearUnreported:
		return s.clearUnreported(e)
	case AcquireMarker:
		return s.acquireMarker(e)
	case ReleaseMarker:
		return s.releaseMarker(e)
	case MeterUsage:
		return s.meterUsage(e)
	case CollectUsage:
		return s.collectUsage(e)
	}
	return Reply{Code: Invalid}
}

// named gives a name's count; a new one begins at nought and lives as long as its first add says.
func (s *State) counter(name string, life float64) *counter {
	c := s.Counters[name]
	if c == nil || c.ExpiresAt <= s.Clock {
		c = &counter{ExpiresAt: s.Clock + min(max(life, 0.001), maxCounterTTL)}
		s.Counters[name] = c
	}
	return c
}

func (s *State) add(e *Command) Reply {
	if e.Key == "" {
		return Reply{Code: Invalid}
	}
	c := s.counter(e.Key, e.TTL)
	c.Total += e.Amount
	return Reply{Total: c.Total}
}

// there renews a holder; false: it was given up, and what it says no longer counts.
func (s *State) renewLease(id string, life float64) bool {
	if id == "" {
		return false
	}
	h := s.lease(id)
	if h.Expired && !mutation.KeepUnfenced {
		return false
	}
	h.ExpiresAt = max(h.ExpiresAt, s.Clock+min(max(life, 0.1), maxCounterTTL))
	return true
}

func (s *State) lease(id string) *lease {
	h := s.Leases[id]
	if h == nil {
		h = &lease{}
		s.Leases[id] = h
	}
	return h
}

// part is what of a count is a holder's.
func (c *counter) account(holder string) *account {
	if c.ByHolder == nil {
		c.ByHolder = map[string]*account{}
	}
	p := c.ByHolder[holder]
	if p == nil {
		p = &account{}
		c.ByHolder[holder] = p
	}
	return p
}

// put brings a holder's part of a name to what it says. Guards against an add that was made and not answered: told again,
// it changes nothing.
func (s *State) reportUsage(e *Command) Reply {
	if e.Key == "" {
		return Reply{Code: Invalid}
	}
	if !s.renewLease(e.Holder, implicitLeaseTTL) {
		r := Reply{Code: LeaseExpired}
		if c := s.Counters[e.Key]; c != nil && c.ExpiresAt > s.Clock {
			if r.Total = c.Total; c.ByHolder[e.Holder] != nil {
				r.HolderTotal = c.ByHolder[e.Holder].Reported
			}
		}
		return r
	}
	c := s.counter(e.Key, e.TTL)
	p := c.account(e.Holder)
	if e.Version > p.Version {
		c.Total += e.Amount - p.Reported
		p.Reported, p.Reserved, p.Version = e.Amount, e.Reserved, e.Version
	}
	return Reply{Total: c.Total, HolderTotal: p.Reported}
}

// holderLife is for how long a holder is held to be there after what it said last, in seconds.
const implicitLeaseTTL = 3.0

// sweep lets go of what has run out. What a dead holder held of names is given back here, in the order of their names, since
// sums of floating point numbers depend on their order.
func (s *State) expire() {
	maps.DeleteFunc(s.Sessions, func(_ string, x *session) bool { return s.Clock-x.LastUsed > SessionTTL })
	maps.DeleteFunc(s.Counters, func(_ string, c *counter) bool { return c.ExpiresAt <= s.Clock })
	maps.DeleteFunc(s.Markers, func(_ string, m *marker) bool { return m.ExpiresAt <= s.Clock })
	var dead []string
	for id, h := range s.Leases {
		if h.ExpiresAt > s.Clock {
			continue
		}
		if !h.Expired {
			dead = append(dead, id)
		} else if h.ExpiresAt+expiredLeaseTTL <= s.Clock && s.Unreported[id] == nil {
			delete(s.Leases, id)
		}
	}
	if len(dead) == 0 {
		return
	}
	slices.Sort(dead)
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		c := s.Counters[name]
		for _, id := range dead {
			if p := c.ByHolder[id]; p != nil && p.Reserved != 0 && !mutation.KeepNoPlaces {
				c.Total -= p.Reserved
				p.Reported -= p.Reserved
				p.Reserved = 0
			}
		}
	}
	for _, id := range dead {
		s.Leases[id].Expired = true
	}
}

// Own is what a holder has added to a name in all.
func (s *State) HolderTotal(name, holder string) float64 {
	if c := s.Counters[name]; c != nil && c.ByHolder[holder] != nil {
		return c.ByHolder[holder].Reported
	}
	return 0
}

// Alive says that a holder is held to be there.
func (s *State) HasLiveHolder() bool {
	for _, h := range s.Leases {
		if !h.Expired {
			return true
		}
	}
	return false
}
