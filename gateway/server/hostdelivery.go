package server

import (
	"container/heap"
	"slices"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

// send dispatches a delivery on a connection to the host with that ID, or queues it until there is one.
func (p *HostPool) send(d *delivery, id string) {
	d.host = p.byID[id]
	if d.host == nil || !d.host.active {
		p.endWithoutResponse(d, policy.NoConnection)
		return
	}
	p.assign(d)
}

// assign dispatches a delivery of which nothing was written on a connection to its host, or queues it until there is one.
func (p *HostPool) assign(d *delivery) {
	h := d.host
	if n := len(h.idle); n > 0 {
		if p.dispatch(h.idle[n-1], d) {
			h.idle = h.idle[:n-1]
		}
		return
	}
	if h.dialing <= len(h.waiting) {
		if p.open >= p.maxConns && !p.closeLongestIdle() {
			p.endWithoutResponse(d, policy.NoConnection)
			return
		}
		p.dial(h)
	}
	h.waiting = append(h.waiting, d)
}

// dispatch starts a delivery on a connection, and is the only place that does. The delivery may have waited for the connection. The
// conditions under which its host was chosen are therefore checked again: its deadline here, and in the policy the state and
// incarnation of its host and the rate limit of a host in slow start. A delivery whose client has left was already cancelled.
// dispatch returns false if the delivery has ended and the connection is still free.
func (p *HostPool) dispatch(c *hostConn, d *delivery) bool {
	if d.due <= p.loop.now {
		p.endWithoutResponse(d, policy.NoConnection)
		return false
	}
	if !p.loop.policy.ConfirmSend(p.loop.now, d.attempt) {
		p.endWithoutResponse(d, policy.NotSent)
		return false
	}
	c.delivery, d.conn = d, c
	c.mu.Lock()
	c.writeBegun = false
	c.mu.Unlock()
	request := p.buffers.Get(false)
	request.Bytes = http1.AppendRequest(request.Bytes[:0], &d.invocation.request.Message, d.due-p.loop.now)
	if mutation.RequestDuplicated && len(d.invocation.Ref) > 0 && d.invocation.Ref[0] == '7' {
		request.Bytes = append(request.Bytes, request.Bytes...)
	}
	c.requests <- request
	return true
}

// nextDelivery dispatches the host's next waiting delivery on a free connection, or adds the connection to the idle ones.
func (p *HostPool) nextDelivery(c *hostConn) {
	h := c.host
	if !h.active || c.addr != h.addr {
		c.abandon()
		return
	}
	for len(h.waiting) > 0 {
		d := h.waiting[0]
		h.waiting = h.waiting[1:]
		if p.dispatch(c, d) {
			return
		}
	}
	c.idleSince = p.loop.now
	h.idle = append(h.idle, c)
}

// cancel ends a delivery before its outcome is known. If it still waits for a connection, it never ran. Otherwise its connection is
// closed.
func (p *HostPool) cancel(d *delivery, outcome policy.Outcome) {
	if d.conn == nil {
		d.host.waiting = slices.DeleteFunc(d.host.waiting, func(other *delivery) bool { return other == d })
		p.endWithoutResponse(d, policy.NoConnection)
		return
	}
	d.conn.delivery = nil
	switch {
	case mutation.CancelledConnectionReused:
		p.nextDelivery(d.conn)
	case !mutation.CancelledAttemptLeftInFlight:
		d.conn.abandon()
	}
	p.endWithoutResponse(d, outcome)
}

// endWithoutResponse ends a delivery whose outcome does not come from its connection. The event loop reports it after the current
// call to the policy returns.
func (p *HostPool) endWithoutResponse(d *delivery, outcome policy.Outcome) {
	if d.index < 0 { // already ended
		return
	}
	heap.Remove(&p.loop.timeouts, d.index)
	if mutation.ResetCountsAsNeverRan && outcome == policy.TimedOut {
		outcome = policy.NoConnection
	}
	d.outcome = outcome
	p.loop.endedDeliveries = append(p.loop.endedDeliveries, d)
}
