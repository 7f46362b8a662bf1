package replication

import (
	"fmt"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// sessionKeepAlive is after how many seconds a session that rests is used, so that the group does not forget it.
const sessionKeepAlive = 15.0

// clientSession is the session in which commands that are not idempotent are submitted, so that one that is sent twice is executed
// once.
type clientSession struct {
	state     sessionState
	name      string
	opened    int // how many were tried, which makes their names differ
	lastUsed  float64
	attemptAt float64 // when it was last tried to open one
}

type sessionState int

const (
	sessionClosed sessionState = iota
	sessionReadingClock
	sessionOpening
	sessionOpen
)

// close has a session opened anew, retryAfter seconds after attemptAt at the latest.
func (s *clientSession) close(attemptAt float64) {
	s.state = sessionClosed
	s.attemptAt = attemptAt
}

// keepSessionAlive uses a session that rests.
func (c *groupClient) keepSessionAlive(now float64) {
	if c.session.state == sessionOpen && now-c.session.lastUsed > sessionKeepAlive {
		c.session.lastUsed = now
		c.node.Submit(c.group, statemachine.Command{Kind: statemachine.Tick}, func(Outcome, statemachine.Reply) {})
	}
}

// putIntoSession makes a command one of the session.
func (c *groupClient) putIntoSession(command *statemachine.Command, q *request, now float64) {
	command.Session = c.session.name
	command.Sequence = q.id
	command.AckedBelow = c.lowestPending()
	if mutation.RetryOutsideSession && q.attempts > 1 {
		command.Session = ""
	}
	c.session.lastUsed = now
}

// lowestPending is the lowest sequence number whose reply is still wanted.
func (c *groupClient) lowestPending() uint64 {
	for _, q := range c.pending {
		if !q.idempotent {
			return q.id
		}
	}
	return c.node.submitted + 1
}

// beginSession opens a session: first it reads the group's clock, by which an OpenSession that was delayed on its way is known as such.
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

// openSession opens a session under a new name.
func (c *groupClient) openSession(clock float64) {
	s := &c.session
	s.opened++
	s.name = fmt.Sprintf("%x.%x.%d.%d", uint64(c.node.id), c.node.run, c.group, s.opened)
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

// submitOnce sends a command that is not sent again; then hears its reply, if one comes.
func (c *groupClient) submitOnce(command statemachine.Command, then func(statemachine.Reply)) {
	n := c.node
	n.submitted++
	id := n.submitted
	c.pending = append(c.pending, &request{
		id: id, createdAt: n.now, sentAt: n.now, attempts: 1, idempotent: true, once: true,
		done: func(outcome Outcome, reply statemachine.Reply) {
			if outcome == Answered {
				then(reply)
			}
		},
	})
	n.sendRequests(c.leader, []protocol.Request{{Group: c.group, ID: id, Command: command}})
}
