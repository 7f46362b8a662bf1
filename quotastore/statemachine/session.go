package statemachine

import "maps"

const (
	// SessionTTL is the time after its last command at which a session expires, in seconds of the group's clock.
	SessionTTL = 60.0
	// MaxOpenSessionAge is the maximum age of the clock reading in an OpenSession, in seconds. It is less than SessionTTL, so that
	// an OpenSession that was delayed in the network can't reopen an expired session whose replies are gone.
	MaxOpenSessionAge = 20.0
)

// session stores the replies to a client's commands, so that each command is executed once.
type session struct {
	AckedBelow uint64           `cbor:"1,keyasint"` // replies with a lower sequence are discarded
	Replies    map[uint64]Reply `cbor:"2,keyasint,omitempty"`
	LastUsed   float64          `cbor:"3,keyasint"` // by the group's clock
}

// openSession opens a session. It rejects an OpenSession that is too old: the session may have been open and have expired already,
// and the commands that follow may have been executed in it.
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

// executeOnce executes a command of a session, or returns the stored reply if the command was executed before.
func (s *State) executeOnce(c *Command) Reply {
	sess := s.Sessions[c.Session]
	if sess == nil {
		return Reply{Code: UnknownSession}
	}
	sess.LastUsed = s.Clock
	if c.Sequence < sess.AckedBelow {
		return Reply{Code: ResultDiscarded}
	}
	if r, known := sess.Replies[c.Sequence]; known {
		return r
	}
	if c.AckedBelow > sess.AckedBelow {
		sess.AckedBelow = c.AckedBelow
		maps.DeleteFunc(sess.Replies, func(sequence uint64, _ Reply) bool { return sequence < c.AckedBelow })
	}
	r := s.execute(c)
	if sess.Replies == nil {
		sess.Replies = map[uint64]Reply{}
	}
	sess.Replies[c.Sequence] = r
	return r
}
