package server

import (
	"container/heap"
	"time"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	responseMargin      = 0.008 // seconds by which the last delivery ends before the client's deadline, so that the response still arrives in time
	refRotationInterval = 2.0   // seconds; a reference is kept for one to two intervals after its response
)

// invocation is a client's request from when it is taken until its final response is passed to the client connection. Once posted,
// it belongs to the event loop.
type invocation struct {
	http1.Invocation
	client        *clientConn
	request       *Buffer
	readAt        time.Time          // when its last byte was received
	policyInv     *policy.Invocation // the policy's record of it; nil before admit
	deadline      float64            // clock time at which the client gives up
	delivery      *delivery          // the delivery in progress
	timedOut      bool               // the last delivery timed out
	delivered     bool               // a delivery was started
	markerRequest uint64             // ID of the request for its marker to the quota store; 0: none was sent
	markerHeld    bool               // the quota store holds its marker
}

// accept processes an invocation whose last byte has been read. It rejects a reference that is in use or was used just before: sent
// to a host, the request would duplicate the one in progress, which continues unaffected.
func (l *EventLoop) accept(inv *invocation) {
	if l.recentRefs.contains(inv.Ref) {
		inv.client.responses <- response{request: inv.request, status: 409}
		return
	}
	l.recentRefs.add(inv.Ref)
	inv.deadline = l.clockAt(inv.readAt) + inv.Timeout // counted from its last byte, as the request may have waited for the previous response on its connection
	if l.store.awaitMarker(inv) {
		return
	}
	l.admit(inv)
}

// admit passes an invocation to the policy, once the quota store allows its delivery or need not be asked.
func (l *EventLoop) admit(inv *invocation) {
	inv.policyInv = l.policy.Accept(l.now, policy.Request{
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
	l.invocations[inv.policyInv] = inv
}

// execute executes the policy's decision on an invocation.
func (l *EventLoop) execute(inv *invocation, decision policy.Decision) {
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

// deliver starts the attempt that the policy added last.
func (l *EventLoop) deliver(inv *invocation, decision policy.Decision) {
	timeout := inv.deadline - l.now - responseMargin
	if mutation.AttemptOutlivesClient {
		timeout += 0.3
	}
	if decision.Timeout > 0 {
		timeout = min(timeout, decision.Timeout)
	}
	attempts := inv.policyInv.Attempts
	d := &delivery{invocation: inv, attempt: attempts[len(attempts)-1], sentAt: l.now, due: l.now + timeout}
	inv.delivery, inv.timedOut, inv.delivered = d, false, true
	heap.Push(&l.timeouts, d)
	l.hosts.send(d, decision.Host.Addr)
}

// deliveryEnded reports the outcome of a delivery to the policy, and executes its decision. A success completes the invocation with
// the host's response.
func (l *EventLoop) deliveryEnded(d *delivery, outcome policy.Outcome, hostResponse *Buffer) {
	inv := d.invocation
	if inv.delivery == d {
		inv.delivery = nil
	}
	inv.timedOut = outcome == policy.TimedOut
	final := outcome == policy.Succeeded || l.invocations[inv.policyInv] != inv
	decision := l.policy.AttemptEnded(l.now, d.attempt, policy.AttemptResult{Outcome: outcome, Final: final, Duration: l.now - d.sentAt})
	if outcome == policy.Succeeded {
		l.finish(inv, 200, 0, hostResponse)
		return
	}
	l.execute(inv, decision)
}

// reportEnded reports the deliveries that ended during a call to the policy or through an event.
func (l *EventLoop) reportEnded() {
	for len(l.endedDeliveries) > 0 {
		d := l.endedDeliveries[0]
		l.endedDeliveries = l.endedDeliveries[1:]
		l.deliveryEnded(d, d.outcome, nil)
	}
}

// clientGone ends an invocation whose client has closed its connection and needs no response any more.
func (l *EventLoop) clientGone(inv *invocation) {
	if l.store.clientGone(inv) || l.invocations[inv.policyInv] != inv {
		return
	}
	l.policy.Abandon(l.now, inv.policyInv)
	if inv.delivery != nil {
		l.hosts.cancel(inv.delivery, policy.Cancelled)
	}
	l.finish(inv, 0, 0, nil)
}

// finish passes the only final response to the client connection, whose channel always has room for it.
func (l *EventLoop) finish(inv *invocation, status int, retryAfter float64, hostResponse *Buffer) {
	if l.invocations[inv.policyInv] != inv {
		l.hosts.buffers.Put(hostResponse)
		return
	}
	delete(l.invocations, inv.policyInv)
	l.store.invocationEnded(inv, status)
	inv.client.responses <- response{request: inv.request, upstream: hostResponse, status: status, retryAfter: retryAfter}
}

// recentRefs holds the references of invocations that are in progress or were completed a short time ago.
type recentRefs struct {
	current, previous map[string]bool // added since the last rotation, and in the interval before it
	rotatedAt         float64
}

func newRecentRefs() recentRefs {
	return recentRefs{current: map[string]bool{}, previous: map[string]bool{}}
}

func (r *recentRefs) contains(ref string) bool { return r.current[ref] || r.previous[ref] }

func (r *recentRefs) add(ref string) { r.current[ref] = true }

// rotateRefs drops references that are old enough that their clients have given up. Those of invocations in progress stay.
func (l *EventLoop) rotateRefs() {
	refs := &l.recentRefs
	if l.now-refs.rotatedAt < refRotationInterval {
		return
	}
	refs.rotatedAt = l.now
	refs.current, refs.previous = map[string]bool{}, refs.current
	for _, inv := range l.invocations {
		refs.add(inv.Ref)
	}
}
