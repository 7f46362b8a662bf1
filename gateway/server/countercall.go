package server

import (
	"math"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
)

// counterCall is one addition to a count, from the time it is made until no list holds it. It belongs to the event loop, but for
// what counterConn says.
type counterCall struct {
	client   *CounterClient
	onAnswer func() // answered, made once

	name       uint64
	amount     float64
	madeAt     float64 // clock time
	reported   bool    // the policy knows how it ended
	references int     // lists that hold it; it is used again when there are none

	// Of a call that the quota store was told of:
	storeRequest uint64  // the number of the request; 0: the store could not be told
	slotsHeld    float64 // what of the amount stands for concurrency slots

	// Of a call on a connection, set under counterConn.mu or by its reader before onAnswer is posted:
	endOffset int64 // where it ends in what is written to its connection
	unusable  bool  // its answer made no sense: the amount was added, but the total is not known
	outcome   policy.Outcome
	total     float64
}

// add makes a call. One that finds no connection, or no room, was not made.
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
	call.references = 2 // pending, and the connection's unanswered calls
	c.pending = append(c.pending, call)
}

func (c *CounterClient) newCall() *counterCall {
	if n := len(c.freeCalls); n > 0 {
		call := c.freeCalls[n-1]
		c.freeCalls = c.freeCalls[:n-1]
		call.reported, call.unusable, call.references = false, false, 0
		return call
	}
	call := &counterCall{client: c}
	call.onAnswer = call.answered
	return call
}

// release takes a call out of one list.
func (c *CounterClient) release(call *counterCall) {
	call.references--
	if call.references <= 0 {
		c.freeCalls = append(c.freeCalls, call)
	}
}

// nextTimeout is the clock time at which the oldest pending call times out.
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

// reportRefused reports the calls that could not be made, after the policy's call that asked for them.
func (c *CounterClient) reportRefused() {
	for len(c.refusedCalls) > 0 {
		call := c.refusedCalls[0]
		c.refusedCalls = c.refusedCalls[1:]
		c.report(call, policy.NoConnection, 0)
		c.release(call)
	}
}

// report tells the policy how a call ended.
func (c *CounterClient) report(call *counterCall, outcome policy.Outcome, total float64) {
	call.reported = true
	if c.store != nil {
		c.store.retract(call, outcome)
	} else {
		c.leaveRoute(call.name)
	}
	c.loop.policy.CounterReplied(c.loop.now, call.name, outcome, total, c.loop.now-call.madeAt)
}

// leaveRoute lets a name choose its connection anew once no call on it is pending.
func (c *CounterClient) leaveRoute(name uint64) {
	route := c.routes[name]
	if route.pending == 1 {
		delete(c.routes, name)
		return
	}
	route.pending--
}

// answered runs on the event loop, once for each call that was made on a connection, timed out or not.
func (c *counterCall) answered() {
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

// read takes over what the counter answered; false: it made no sense, but the amount was added.
func (c *counterCall) read(message *http1.Message) bool {
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
