package server

import (
	"container/heap"
	"time"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	clientMargin    = 0.008 // seconds before its client gives up at which the last delivery is ended, so that the answer still comes
	refsRotateEvery = 2.0   // seconds; a reference is known for one to two of them after its answer
)

// invocation is one taken from a client, until its final answer is handed to the client's connection. It belongs to the event
// loop once it is posted.
type invocation struct {
	http1.Invocation
	client        *clientConn
	request       *Buffer
	readAt        time.Time          // when its last byte came
	decided       *policy.Invocation // what the policy knows it by; nil before admit
	deadline      float64            // clock time at which its client gives up
	delivery      *delivery          // the one in progress
	timedOut      bool               // the last delivery ended without an answer in time
	delivered     bool               // a delivery has begun
	markerRequest uint64             // number of the request for its marker to the quota store; 0: there was none
	markerHeld    bool               // the quota store holds its marker
}

// accept brings in an invocation whose last byte has been read. A reference in use or just answered is refused: sent to a host,
// it would be a second copy of the one in progress, which goes on untouched.
func (l *EventLoop) accept(inv *invocation) {
	if l.recentRefs.contains(inv.Ref) {
		inv.client.responses <- response{request: inv.request, status: 409}
		return
	}
	l.recentRefs.add(inv.Ref)
	inv.deadline = l.clockAt(inv.readAt) + inv.Timeout // from its last byte: it may have waited for the answer before it
	if l.store.awaitMarker(inv) {
		return
	}
	l.admit(inv)
}

// admit hands the policy an invocation that may be delivered as far as the quota store knows.
func (l *EventLoop) admit(inv *invocation) {
	inv.decided = l.policy.Accept(l.now, policy.Request{
		Ref:          inv.Ref,
		Operation:    inv.Operation,
		Customer:     inv.Customer,
		Plan:         inv.Plan,
		Units:        inv.Units,
		Deadline:     inv.deadline,
		FirstGateway: inv.FirstGateway,
		GatewayCount: inv.GatewayCount,
		ClientRetry:  inv.Retry,
	})
	l.invocations[inv.decided] = inv
}

// carryOut does what the policy decided on an invocation.
func (l *EventLoop) carryOut(inv *invocation, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		l.deliver(inv, decision)
	case policy.Throttle:
		l.finish(inv, 429, decision.RetryAfter, nil)
	case policy.Fail:
		switch {
		case mutation.FailureAnsweredAsThrottled:
			l.finish(inv, 429, 1, nil)
		case inv.timedOut:
			l.finish(inv, 504, 0, nil)
		default:
			l.finish(inv, 502, 0, nil)
		}
	}
}

// deliver begins the attempt that the policy added last.
func (l *EventLoop) deliver(inv *invocation, decision policy.Decision) {
	timeout := inv.deadline - l.now - clientMargin
	if mutation.AttemptOutlivesClient {
		timeout += 0.3
	}
	if decision.Timeout > 0 {
		timeout = min(timeout, decision.Timeout)
	}
	attempts := inv.decided.Attempts
	d := &delivery{invocation: inv, attempt: attempts[len(attempts)-1], sentAt: l.now, due: l.now + timeout}
	inv.delivery, inv.timedOut, inv.delivered = d, false, true
	heap.Push(&l.timeouts, d)
	l.hosts.send(d, decision.Host.Addr)
}

// deliveryEnded tells the policy how a delivery ended, and carries out what it decides. A success ends the invocation with the
// host's answer.
func (l *EventLoop) deliveryEnded(d *delivery, outcome policy.Outcome, answer *Buffer) {
	inv := d.invocation
	if inv.delivery == d {
		inv.delivery = nil
	}
	inv.timedOut = outcome == policy.TimedOut
	final := outcome == policy.Succeeded || l.invocations[inv.decided] != inv
	decision := l.policy.AttemptEnded(l.now, d.attempt, policy.AttemptResult{Outcome: outcome, Final: final, Duration: l.now - d.sentAt})
	if outcome == policy.Succeeded {
		l.finish(inv, 200, 0, answer)
		return
	}
	l.carryOut(inv, decision)
}

// reportEnded reports deliveries that ended within a call of the policy, or by an event.
func (l *EventLoop) reportEnded() {
	for len(l.endedDeliveries) > 0 {
		d := l.endedDeliveries[0]
		l.endedDeliveries = l.endedDeliveries[1:]
		l.deliveryEnded(d, d.outcome, nil)
	}
}

// clientGone ends an invocation whose client has closed its connection: nothing is owed to it any more.
func (l *EventLoop) clientGone(inv *invocation) {
	if l.store.clientGone(inv) || l.invocations[inv.decided] != inv {
		return
	}
	l.policy.Abandon(l.now, inv.decided)
	if inv.delivery != nil {
		l.hosts.withdraw(inv.delivery, policy.Cancelled)
	}
	l.finish(inv, 0, 0, nil)
}

// finish hands the one final answer to the client's connection, which always has room for it.
func (l *EventLoop) finish(inv *invocation, status int, retryAfter float64, answer *Buffer) {
	if l.invocations[inv.decided] != inv {
		l.hosts.buffers.Put(answer)
		return
	}
	delete(l.invocations, inv.decided)
	l.store.invocationEnded(inv, status)
	inv.client.responses <- response{request: inv.request, upstream: answer, status: status, retryAfter: retryAfter}
}

// recentRefs are the references of invocations in progress or just answered.
type recentRefs struct {
	current, previous map[string]bool // since the last rotation, and in the period before it
	rotatedAt         float64
}

func newRecentRefs() recentRefs {
	return recentRefs{current: map[string]bool{}, previous: map[string]bool{}}
}

func (r *recentRefs) contains(ref string) bool { return r.current[ref] || r.previous[ref] }

func (r *recentRefs) add(ref string) { r.current[ref] = true }

// rotateRefs lets go of references whose clients have given up since. Those in progress stay.
func (l *EventLoop) rotateRefs() {
	refs := &l.recentRefs
	if l.now-refs.rotatedAt < refsRotateEvery {
		return
	}
	refs.rotatedAt = l.now
	refs.current, refs.previous = map[string]bool{}, refs.current
	for _, inv := range l.invocations {
		refs.add(inv.Ref)
	}
}
