package replication

import (
	"slices"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	retryAfter       = 0.3  // seconds without a response after which a request is sent again
	redirectDelay    = 0.02 // seconds after which a request is sent again if the server didn't lead the group
	leaderWait       = 0.4  // seconds for which a request waits for a leader before it is rejected
	requestTimeout   = 1.5  // seconds after which the outcome of a request is unknown
	unavailableAfter = 1.0  // seconds without a leader after which requests for a group are rejected at once
	leaderSilence    = 1.0  // seconds since a leader's server was last known to be alive, after which the group has no leader
	neverSent        = -1.0 // value of sentAt that makes a request due at once
)

// maxPendingRequests is the number of requests of a group that wait for their outcomes above which further ones are rejected. Each of them
// is looked at whenever one is added, and sent again if it is not answered in time, so that more would take longer than they may wait.
const maxPendingRequests = 2048

// Outcome is the result of submitting a command.
type Outcome int

// The outcomes of a submitted command.
const (
	Answered Outcome = iota
	Rejected         // the command was not executed, and never will be
	Unknown          // the command may have been executed, or may still be
)

// request is a command in flight.
type request struct {
	command    statemachine.Command
	id         uint64 // also its sequence number in a session
	createdAt  float64
	sentAt     float64
	attempts   int
	idempotent bool // the command needs no session
	once       bool // part of opening a session; never sent again
	done       func(Outcome, statemachine.Reply)
}

// groupClient submits commands to the leader of one group. It must not give the outcome Rejected for a command that may have been
// proposed.
type groupClient struct {
	node        *Node
	group       int
	leader      int // number of the server that leads, or noLeader
	term        uint64
	hadLeaderAt float64
	session     clientSession
	pending     []*request // in the order of their IDs
}

// Submit submits a command to a group. It calls done once with the outcome, during this call or a later call of a method of the Node.
func (n *Node) Submit(group int, command statemachine.Command, done func(Outcome, statemachine.Reply)) {
	c := n.clients[group]
	n.submitted++
	q := &request{command: command, id: n.submitted, createdAt: n.now, idempotent: isIdempotent(command.Kind), done: done}
	if n.cluster == 0 || c.unavailable(n.now) || len(c.pending) >= maxPendingRequests {
		done(Rejected, statemachine.Reply{})
		return
	}
	c.pending = append(c.pending, q)
	c.sendDue(n.now)
}

// isIdempotent reports whether a repeated command of a kind takes effect only once even without a session.
func isIdempotent(kind statemachine.Kind) bool {
	switch kind {
	case statemachine.ReportUsage, statemachine.RenewLease, statemachine.RecordUnreported, statemachine.RecoverUnreported,
		statemachine.ClearUnreported, statemachine.MeterUsage, statemachine.CollectUsage:
		return true
	default:
		return false
	}
}

func (c *groupClient) hasLeader() bool { return c.leader >= 0 }

// unavailable reports whether the group has had no leader for longer than unavailableAfter.
func (c *groupClient) unavailable(now float64) bool {
	return !c.hasLeader() && now-c.hadLeaderAt > unavailableAfter
}

// leaderChanged sets the leader of a term, unless a later term is known. After a change, pending requests that were sent to the former
// leader are due at once.
func (c *groupClient) leaderChanged(leader int, term uint64) {
	if term < c.term {
		return
	}
	if c.leader != leader || c.term != term {
		c.leader = leader
		c.term = term
		for _, q := range c.pending { // the former leader may have lost it
			if q.attempts > 0 && !q.once {
				q.sentAt = neverSent
			}
		}
		if c.session.state != sessionOpen {
			c.session.close(0)
		}
	}
	c.sendDue(c.node.now)
}

// tick updates the leader, and expires or sends requests.
func (c *groupClient) tick(now float64) {
	c.followLocalReplica()
	if c.hasLeader() {
		c.hadLeaderAt = now
		if c.leader != c.node.self && now-c.node.status[c.leader].aliveAt > leaderSilence {
			c.leader = noLeader
		}
	}
	c.expireRequests(now)
	c.keepSessionAlive(now)
	c.sendDue(now)
}

// followLocalReplica updates the leader from the replica of the group on this server, if there is one.
func (c *groupClient) followLocalReplica() {
	r := c.node.replicas[c.group]
	if r == nil {
		return
	}
	l := &r.leadership
	if l.leader != 0 && l.term >= c.term {
		if number := c.node.knownServer(l.number()); number != c.leader || l.term != c.term {
			c.leaderChanged(number, l.term)
		}
	} else if c.leader == c.node.self && !l.leads {
		c.leader = noLeader
	}
}

// expireRequests ends requests that have waited for too long. Their done functions may submit further requests.
func (c *groupClient) expireRequests(now float64) {
	for i := 0; i < len(c.pending); {
		q := c.pending[i]
		outcome := c.timeoutOutcome(q, now)
		if outcome == Answered {
			i++
			continue
		}
		c.pending = slices.Delete(c.pending, i, i+1)
		q.done(outcome, statemachine.Reply{})
	}
}

// timeoutOutcome returns Rejected or Unknown for a request that has waited for too long, and Answered for one that may wait
// longer.
func (c *groupClient) timeoutOutcome(q *request, now float64) Outcome {
	age := now - q.createdAt
	isLate := age > requestTimeout
	hasNoLeader := age > leaderWait && !c.hasLeader()
	switch {
	case q.attempts == 0 && (isLate || hasNoLeader || c.unavailable(now)):
		return Rejected
	case isLate:
		return Unknown
	default:
		return Answered
	}
}

// sendDue sends the requests that were not sent yet, or not answered within retryAfter.
func (c *groupClient) sendDue(now float64) {
	if !c.hasLeader() || c.node.cluster == 0 {
		return
	}
	if c.session.state != sessionOpen {
		c.beginSession(now)
	}
	var due []protocol.Request
	for _, q := range c.pending {
		if !c.isDue(q, now) {
			continue
		}
		q.sentAt = now
		q.attempts++
		command := q.command
		if !q.idempotent {
			c.assignToSession(&command, q, now)
		}
		due = append(due, protocol.Request{Group: c.group, ID: q.id, Command: command})
	}
	c.node.sendRequests(c.leader, due)
}

func (c *groupClient) isDue(q *request, now float64) bool {
	if q.once || now-q.sentAt < retryAfter && q.attempts > 0 {
		return false
	}
	return q.idempotent || c.session.state == sessionOpen
}

// sendRequests sends requests to a leader, which may be this server.
func (n *Node) sendRequests(leader int, all []protocol.Request) {
	if leader == n.self {
		for i := range all {
			n.receiveRequest(n.self, &all[i])
		}
		return
	}
	for len(all) > 0 {
		count := min(len(all), maxBatchedRequests)
		n.send(leader, protocol.RequestsFrame(all[:count]), false)
		all = all[count:]
	}
}

// receiveRequest processes a request for a group from another server or this one.
func (n *Node) receiveRequest(from int, q *protocol.Request) {
	if q.Group < 0 || q.Group >= n.config.Groups {
		return
	}
	leader := noLeader
	if r := n.replicas[q.Group]; r != nil {
		if r.enqueue(q.Command, requester{from, q.ID}) {
			return
		}
		leader = r.leadership.number()
	}
	n.respond(from, protocol.Response{Group: q.Group, RequestID: q.ID, NotLeader: true, Leader: leader})
}

// respond sends a response to a server, which may be this one. It drops the response if no server waits for it.
func (n *Node) respond(to int, response protocol.Response) {
	switch {
	case to < 0: // no server waits for it
	case to == n.self:
		n.receiveResponse(&response)
	default:
		if f := n.openResponseFrame(to); f != nil {
			f.Responses = append(f.Responses, response)
			return
		}
		n.send(to, protocol.ResponsesFrame([]protocol.Response{response}), false)
	}
}

// openResponseFrame returns the last frame of the outbox if another response to the server can be added to it.
func (n *Node) openResponseFrame(to int) *protocol.Frame {
	if len(n.outbox) == 0 {
		return nil
	}
	last := &n.outbox[len(n.outbox)-1]
	if last.To != to || last.Frame.Kind != protocol.KindResponses || len(last.Frame.Responses) >= maxBatchedRequests {
		return nil
	}
	return last.Frame
}

// receiveResponse processes the response to a request of this server.
func (n *Node) receiveResponse(response *protocol.Response) {
	if response.Group < 0 || response.Group >= len(n.clients) {
		return
	}
	c := n.clients[response.Group]
	i := slices.IndexFunc(c.pending, func(q *request) bool { return q.id == response.RequestID })
	if i < 0 {
		return
	}
	if response.NotLeader {
		c.redirect(i, response.Leader)
		return
	}
	c.finish(i, response.Reply)
}

// redirect handles the response of a server that didn't lead the group and so didn't propose the request. Another server may have
// received it in an earlier attempt, so only a first attempt counts as not sent.
func (c *groupClient) redirect(i, leader int) {
	q := c.pending[i]
	if q.once {
		c.pending = slices.Delete(c.pending, i, i+1)
	} else {
		q.sentAt = c.node.now - retryAfter + redirectDelay
		if q.attempts == 1 {
			q.attempts = 0
		}
	}
	if leader = c.node.knownServer(leader); c.hasLeader() && leader != c.leader {
		c.leader = leader
		c.sendDue(c.node.now)
	}
}

// knownServer returns a server's number, or noLeader if the server is not in this server's list. The list of the server that sent the
// number may be newer.
func (n *Node) knownServer(number int) int {
	if number < 0 || number >= len(n.peers) {
		return noLeader
	}
	return number
}

// finish ends a request with its reply, unless the request has to be sent again.
func (c *groupClient) finish(i int, reply statemachine.Reply) {
	q := c.pending[i]
	outcome := Answered
	switch {
	case reply.Code == statemachine.ResultDiscarded:
		return // no caller waits for it
	case reply.Code == statemachine.UnknownSession && !q.idempotent:
		if c.session.state == sessionOpen {
			c.session.close(0)
		}
		if q.attempts <= 1 { // otherwise an earlier attempt may have been executed before the session expired
			q.attempts = 0
			q.sentAt = neverSent
			c.sendDue(c.node.now)
			return
		}
	}
	if reply.Code == statemachine.UnknownSession {
		outcome = Unknown
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	q.done(outcome, reply)
}
