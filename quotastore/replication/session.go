package replication

import (
	"fmt"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// sessionKeepAlive is the time without a command after which an idle session sends one, in seconds, so that it doesn't expire.
const sessionKeepAlive = 15.0

// clientSession is the session in which commands that are not idempotent are submitted, so that a command that is sent twice is
// executed once.
type clientSession struct {
	state     sessionState
	name      string
	opened    int // number of sessions that were requested, which makes their names unique
	lastUsed  float64
	attemptAt float64 // time of the last attempt to open a session
}

type sessionState int

const (
	sessionClosed sessionState = iota
	sessionReadingClock
	sessionOpening
	sessionOpen
)

// close closes the session and sets the time of the last attempt. The next call of sendDue opens a new session.
func (s *clientSession) close(attemptAt float64) {
	s.state = sessionClosed
	s.attemptAt = attemptAt
}

// keepSessionAlive sends a command in an idle session.
func (c *groupClient) keepSessionAlive(now float64) {
	if c.session.state == sessionOpen && now-c.session.lastUsed > sessionKeepAlive {
		c.session.lastUsed = now
		c.node.Submit(c.group, statemachine.Command{Kind: statemachine.Tick}, func(Outcome, statemachine.Reply) {})
	}
}

// assignToSession sets the session fields of a command.
func (c *groupClient) assignToSession(command *statemachine.Command, q *request, now float64) {
	command.Session = c.session.name
	command.Sequence = q.id
	command.AckedBelow = c.lowestPending()
	if mutation.RetryOutsideSession && q.attempts > 1 {
		command.Session = ""
	}
	c.session.lastUsed = now
}

// lowestPending returns the lowest sequence number whose reply is still needed.
func (c *groupClient) lowestPending() uint64 {
	for _, q := range c.pending {
		if !q.idempotent {
			return q.id
		}
	}
	return c.node.submitted + 1
}

// beginSession starts to open a session. It first reads the group's clock for the OpenSession, so that the group can reject an
// OpenSession that was delayed in the network.
func (c *groupClient) beginSession(now float64) {
	if c.session.state != sessionClosed && now-c.session.attemptAt < retryAfter {
		return
	}
	c.session.attemptAt = now
	c.session.state = sessionReadingClock
	c.submitOnce(statemachine.Command{Kind: statemachine.Tick}, func(reply statemachine.Reply) {
		if c.session.state == sessionReadingClock {
			c.openSession(reply.Clock)
		}
	})
}

// openSession opens a session under a new name, with the group's clock as it was read.
func (c *groupClient) openSession(clock float64) {
	s := &c.session
	s.opened++
	s.name = fmt.Sprintf("%x.%x.%d.%d", uint64(c.node.id), c.node.processSeed, c.group, s.opened)
	s.state = sessionOpening
	s.attemptAt = c.node.now
	c.submitOnce(statemachine.Command{Kind: statemachine.OpenSession, Session: s.name, Clock: clock}, func(reply statemachine.Reply) {
		if s.state != sessionOpening {
			return
		}
		if reply.Code != statemachine.Done {
			s.close(c.node.now)
			return
		}
		s.state = sessionOpen
		s.lastUsed = c.node.now
		c.sendDue(c.node.now)
	})
}

// submitOnce sends a command that is never retried, and calls done with the reply if there is one.
func (c *groupClient) submitOnce(command statemachine.Command, done func(statemachine.Reply)) {
	n := c.node
	n.submitted++
	id := n.submitted
	c.pending = append(c.pending, &request{
		id: id, createdAt: n.now, sentAt: n.now, attempts: 1, idempotent: true, once: true,
		done: func(outcome Outcome, reply statemachine.Reply) {
			if outcome == Answered {
				done(reply)
			}
		},
	})
	n.sendRequests(c.leader, []protocol.Request{{Group: c.group, ID: id, Command: command}})
}
