package server

import (
	"math"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
)

// counterCall is one addition to a count, from when it is made until no list holds it. It belongs to the event loop, except for
// what counterConn documents.
type counterCall struct {
	client *CounterClient
	onEnd  func() // ended, created once per counterCall

	name       uint64
	amount     float64
	madeAt     float64 // clock time
	reported   bool    // the outcome was reported to the policy
	references int     // number of lists that hold it; it is reused when there are none

	// For a call that is reported to the quota store:
	storeRequest uint64  // ID of the request; 0: it could not be sent
	slotsHeld    float64 // part of the amount that stands for concurrency slots

	// For a call on a connection. Set under counterConn.mu, or by the connection's reader before onEnd is posted:
	endOffset    int64 // offset of its end in the bytes written to the connection
	replyInvalid bool  // the reply was invalid: the amount was added, but the total is not known
	outcome      policy.Outcome
	total        float64
}

// add makes a call. If there is no connection, or the connection has too many calls, the call is not made.
func (c *CounterClient) add(name uint64, amount, life float64) {
	call := c.newCall()
	call.name, call.madeAt, call.amount = name, c.loop.now, amount
	if c.store != nil {
		call.slotsHeld, call.storeRequest, call.references = 0, 0, 1
		if !c.store.report(call, life) {
			c.refusedCalls = append(c.refusedCalls, call)
			return
		}
		c.pending = append(c.pending, call)
		return
	}
	route := c.routes[name]
	if route == nil {
		route = &nameRoute{conn: c.pickConn()}
		c.routes[name] = route
	}
	route.pending++
	if route.conn == nil || !route.conn.enqueue(call, amount, life) {
		c.refusedCalls = append(c.refusedCalls, call)
		return
	}
	call.references = 2 // in pending and in the connection's unanswered calls
	c.pending = append(c.pending, call)
}

func (c *CounterClient) newCall() *counterCall {
	if n := len(c.freeCalls); n > 0 {
		call := c.freeCalls[n-1]
		c.freeCalls = c.freeCalls[:n-1]
		call.reported, call.replyInvalid, call.references = false, false, 0
		return call
	}
	call := &counterCall{client: c}
	call.onEnd = call.ended
	return call
}

// release records that a list no longer holds a call, and recycles the call after the last one.
func (c *CounterClient) release(call *counterCall) {
	call.references--
	if call.references <= 0 {
		c.freeCalls = append(c.freeCalls, call)
	}
}

// nextTimeout returns the clock time at which the oldest pending call times out.
func (c *CounterClient) nextTimeout() float64 {
	for len(c.pending) > 0 && c.pending[0].reported {
		call := c.pending[0]
		c.pending = c.pending[1:]
		c.release(call)
	}
	if len(c.pending) == 0 {
		return math.Inf(1)
	}
	return c.pending[0].madeAt + c.callTimeout
}

// expire reports the calls that have timed out.
func (c *CounterClient) expire() {
	for c.nextTimeout() <= c.loop.now {
		c.report(c.pending[0], policy.TimedOut, 0)
	}
}

// reportRefused reports the calls that could not be made. It runs after the call to the policy that requested them has returned.
func (c *CounterClient) reportRefused() {
	for len(c.refusedCalls) > 0 {
		call := c.refusedCalls[0]
		c.refusedCalls = c.refusedCalls[1:]
		c.report(call, policy.NoConnection, 0)
		c.release(call)
	}
}

// report reports the outcome of a call to the policy.
func (c *CounterClient) report(call *counterCall, outcome policy.Outcome, total float64) {
	call.reported = true
	if c.store != nil {
		c.store.retract(call, outcome)
	} else {
		c.releaseRoute(call.name)
	}
	c.loop.policy.CounterReplied(c.loop.now, call.name, outcome, total, c.loop.now-call.madeAt)
}

// releaseRoute removes a call from the route of its name. Without pending calls the route is deleted, so that the next call picks a
// new connection.
func (c *CounterClient) releaseRoute(name uint64) {
	route := c.routes[name]
	if route.pending == 1 {
		delete(c.routes, name)
		return
	}
	route.pending--
}

// ended runs on the event loop, once for each call that was made on a connection, even if the call has timed out.
func (c *counterCall) ended() {
	if c.outcome == policy.Succeeded {
		c.client.newestAnswered = max(c.client.newestAnswered, c.madeAt)
	}
	if c.reported && c.outcome == policy.Reset {
		c.client.loop.policy.CounterCallLost(c.name, c.amount)
	}
	if !c.reported {
		c.client.report(c, c.outcome, c.total)
	}
	c.client.release(c)
}

// parseReply sets the outcome and the total from the counter's reply. It returns false if the reply is invalid, in which case the
// amount was added nevertheless.
func (c *counterCall) parseReply(message *http1.Message) bool {
	switch message.Status {
	case 200:
		total, ok := http1.ParseNumber(message.Body)
		c.outcome, c.total = policy.Succeeded, total
		return ok
	case 503, 400, 404:
		c.outcome = policy.Rejected
		return true
	}
	return false
}
