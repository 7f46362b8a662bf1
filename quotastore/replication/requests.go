package replication

import (
	"slices"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	retryAfter       = 0.3  // seconds without a response after which a request is sent again
	redirectDelay    = 0.02 // seconds until a request is sent again that came to a server that does not lead
	leaderWait       = 0.4  // seconds for which a request waits for a leader before it is rejected
	requestTimeout   = 1.5  // seconds after which the outcome of a request is unknown
	unavailableAfter = 1.0  // seconds without a leader after which requests for a group are rejected at once
	leaderSilence    = 1.0  // seconds after which a leader whose server was not known to be alive counts as none
	neverSent        = -1.0 // in place of when a request was sent: it is due at once
)

// Outcome is what is known of a command that was submitted.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Rejected         // nothing was executed, and nothing will be
	Unknown          // it may have been executed, or may yet be
)

// request is a command in flight.
type request struct {
	command    statemachine.Command
	id         uint64 // which is its sequence number in a session, too
	createdAt  float64
	sentAt     float64
	attempts   int
	idempotent bool // it needs no session
	once       bool // it opens a session, and is never sent again
	done       func(Outcome, statemachine.Reply)
}

// groupClient submits commands to one group, whoever leads it. It must never say that nothing was executed of what was sent.
type groupClient struct {
	node        *Node
	group       int
	leader      int // number of the server that leads, or noLeader
	term        uint64
	hadLeaderAt float64
	session     clientSession
	pending     []*request // in the order of their IDs
}

// Submit asks a group to execute a command; done hears its outcome once, within this call or a later one of this Node.
func (n *Node) Submit(group int, command statemachine.Command, done func(Outcome, statemachine.Reply)) {
	c := n.clients[group]
	n.submitted++
	q := &request{command: command, id: n.submitted, createdAt: n.now, idempotent: isIdempotent(command.Kind), done: done}
	if n.cluster == 0 || c.unavailable(n.now) {
		done(Rejected, statemachine.Reply{})
		return
	}
	c.pending = append(c.pending, q)
	c.sendDue(n.now)
}

// isIdempotent reports whether a command takes effect once by what it says, however often it comes.
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

// unavailable reports whether the group has had no leader for long.
func (c *groupClient) unavailable(now float64) bool {
	return !c.hasLeader() && now-c.hadLeaderAt > unavailableAfter
}

// leaderChanged hears who leads.
func (c *groupClient) leaderChanged(leader int, term uint64) {
	if term < c.term {
		return
	}
	if c.leader != leader || c.term != term {
		c.leader = leader
		c.term = term
		for _, q := range c.pending { // what the one before had may be lost: at once to this one
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

// tick goes on with requests in flight.
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

// followLocalReplica takes up what a replica of the group here knows of its leader.
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

// expireRequests gives up requests that have waited for too long. What they are told of it may submit further ones.
func (c *groupClient) expireRequests(now float64) {
	for i := 0; i < len(c.pending); {
		q := c.pending[i]
		outcome := c.outcomeOfWaiting(q, now)
		if outcome == Answered {
			i++
			continue
		}
		c.pending = slices.Delete(c.pending, i, i+1)
		q.done(outcome, statemachine.Reply{})
	}
}

// outcomeOfWaiting is Rejected or Unknown for a request that has waited for too long, else Answered: it may be yet.
func (c *groupClient) outcomeOfWaiting(q *request, now float64) Outcome {
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

// sendDue sends what has not been sent, or not been answered for long.
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
			c.putIntoSession(&command, q, now)
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

// sendRequests brings requests to a leader, which may be here.
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

// receiveRequest takes what another server, or this one, wants of a group.
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

// respond brings a response to a server, which may be this one, or to nobody.
func (n *Node) respond(to int, response protocol.Response) {
	switch {
	case to < 0: // nobody waits for it
	case to == n.self:
		n.receiveResponse(&response)
	default:
		if f := n.openResponses(to); f != nil {
			f.Responses = append(f.Responses, response)
			return
		}
		n.send(to, protocol.ResponsesFrame([]protocol.Response{response}), false)
	}
}

// openResponses returns the last frame of the outbox if another response to the server can go with it.
func (n *Node) openResponses(to int) *protocol.Frame {
	if len(n.outbox) == 0 {
		return nil
	}
	last := &n.outbox[len(n.outbox)-1]
	if last.To != to || last.Frame.Kind != protocol.KindResponses || len(last.Frame.Responses) >= maxBatchedRequests {
		return nil
	}
	return last.Frame
}

// receiveResponse takes the response to a request of this server.
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

// redirect says that a request was not proposed where it came to. That server has not executed it; another may have it from an earlier
// attempt.
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

// knownServer returns a server's number, or noLeader if the list here has no such server: that of another server may be newer.
func (n *Node) knownServer(number int) int {
	if number < 0 || number >= len(n.peers) {
		return noLeader
	}
	return number
}

// finish ends a request with its reply, unless it has to be sent again.
func (c *groupClient) finish(i int, reply statemachine.Reply) {
	q := c.pending[i]
	outcome := Answered
	switch {
	case reply.Code == statemachine.ResultDiscarded:
		return // nobody waits for it
	case reply.Code == statemachine.UnknownSession && !q.idempotent:
		if c.session.state == sessionOpen {
			c.session.close(0)
		}
		if q.attempts <= 1 { // else an earlier attempt may have been executed while the session was known
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
