package statemachine

import "maps"

const (
	// SessionTTL is how long a session without a command is remembered, in seconds of the group's clock.
	SessionTTL = 60.0
	// MaxOpenSessionAge is how old the clock in an OpenSession may be, in seconds. It is below SessionTTL, so that an OpenSession
	// that was delayed on its way can't bring back a session whose replies are forgotten.
	MaxOpenSessionAge = 20.0
)

// session remembers the replies of a client's commands, so that each is executed once.
type session struct {
	AckedBelow uint64           `cbor:"1,keyasint"` // replies with a lower sequence are discarded
	Replies    map[uint64]Reply `cbor:"2,keyasint,omitempty"`
	LastUsed   float64          `cbor:"3,keyasint"` // by the group's clock
}

// openSession begins a session. An OpenSession that comes too late is refused: the session may have lived and expired already, and
// what follows may have been executed in it.
func (s *State) openSession(c *Command) Reply {
	if c.Session == "" || s.Clock-c.Clock > MaxOpenSessionAge {
		return Reply{Code: Invalid}
	}
	if s.Sessions[c.Session] == nil {
		s.Sessions[c.Session] = &session{}
	}
	s.Sessions[c.Session].LastUsed = s.Clock
	return Reply{}
}

// executeOnce executes a command of a session, or gives the reply that it has had before.
func (s *State) executeOnce(c *Command) Reply {
	own := s.Sessions[c.Session]
	if own == nil {
		return Reply{Code: UnknownSession}
	}
	own.LastUsed = s.Clock
	if c.Sequence < own.AckedBelow {
		return Reply{Code: ResultDiscarded}
	}
	if r, known := own.Replies[c.Sequence]; known {
		return r
	}
	if c.AckedBelow > own.AckedBelow {
		own.AckedBelow = c.AckedBelow
		maps.DeleteFunc(own.Replies, func(sequence uint64, _ Reply) bool { return sequence < c.AckedBelow })
	}
	r := s.execute(c)
	if own.Replies == nil {
		own.Replies = map[uint64]Reply{}
	}
	own.Replies[c.Sequence] = r
	return r
}
