package statemachine

import (
	"math"
)

// expireInterval is the minimum interval between two removals of expired entries, in seconds of the group's clock.
const expireInterval = 0.25

// State is the state of one group. Its fields are exported for the encoding only.
type State struct {
	Clock      float64                     `cbor:"1,keyasint"` // seconds since the group's bootstrap
	NextSweep  float64                     `cbor:"2,keyasint"` // clock reading of the next removal of expired entries
	Sessions   map[string]*session         `cbor:"3,keyasint"`
	Counters   map[string]*counter         `cbor:"4,keyasint"`
	Leases     map[string]*lease           `cbor:"5,keyasint"` // by holder
	Unreported map[string]*unreportedByKey `cbor:"6,keyasint"` // by holder
	Markers    map[string]*marker          `cbor:"7,keyasint"` // by invocation
	Metering   *metering                   `cbor:"8,keyasint"`
}

// New returns the initial state of a group.
func New() *State {
	return &State{
		Sessions: map[string]*session{}, Counters: map[string]*counter{}, Leases: map[string]*lease{},
		Unreported: map[string]*unreportedByKey{}, Markers: map[string]*marker{}, Metering: newMetering(),
	}
}

// Apply advances the clock to that of the batch, removes expired entries, executes the commands in their order and returns their
// replies.
func (s *State) Apply(b *Batch) []Reply {
	if b.Clock > s.Clock && !math.IsInf(b.Clock, 0) { // false for NaN; the clock never goes back
		s.Clock = b.Clock
	}
	if s.Clock >= s.NextSweep {
		s.expire()
		s.NextSweep = s.Clock + expireInterval
	}
	replies := make([]Reply, len(b.Commands))
	for i := range b.Commands {
		replies[i] = s.applyCommand(&b.Commands[i])
		replies[i].Clock = s.Clock
	}
	return replies
}

// applyCommand executes a command unless it was executed in its session before.
func (s *State) applyCommand(c *Command) Reply {
	if c.malformed() {
		return Reply{Code: Invalid}
	}
	if c.Kind == OpenSession {
		return s.openSession(c)
	}
	if c.Session == "" {
		return s.execute(c)
	}
	return s.executeOnce(c)
}

//nolint:cyclop // a switch with one case per kind
func (s *State) execute(c *Command) Reply {
	switch c.Kind {
	case Tick:
		return Reply{}
	case Add:
		return s.add(c)
	case ReportUsage:
		return s.reportUsage(c)
	case RenewLease:
		return s.renewLease(c)
	case RecordUnreported:
		return s.recordUnreported(c)
	case RecoverUnreported:
		return s.recoverUnreported(c)
	case ClearUnreported:
		return s.clearUnreported(c)
	case AcquireMarker:
		return s.acquireMarker(c)
	case ReleaseMarker:
		return s.releaseMarker(c)
	case MeterUsage:
		return s.meterUsage(c)
	case CollectUsage:
		return s.collectUsage(c)
	default: // applyCommand handles OpenSession and rejects unknown kinds
		return Reply{Code: Invalid}
	}
}

func notFinite(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

// Idle reports whether the state has no entry that can expire.
func (s *State) Idle() bool {
	return len(s.Sessions)+len(s.Counters)+len(s.Leases)+len(s.Unreported)+len(s.Markers) == 0
}
