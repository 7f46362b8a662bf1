package server

import (
	"container/heap"
	"slices"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

// send hands a delivery to a connection of the host with that id, or lets it wait for one.
func (p *HostPool) send(d *delivery, id string) {
	d.host = p.byID[id]
	if d.host == nil || !d.host.active {
		p.endUndelivered(d, policy.NoConnection)
		return
	}
	p.place(d)
}

// place gives a delivery of which nothing has been written a connection of its host, or lets it wait for one.
func (p *HostPool) place(d *delivery) {
	h := d.host
	if n := len(h.idle); n > 0 {
		if p.handOver(h.idle[n-1], d) {
			h.idle = h.idle[:n-1]
		}
		return
	}
	if h.dialing <= len(h.waiting) {
		if p.open >= p.maxConns && !p.closeLongestIdle() {
			p.endUndelivered(d, policy.NoConnection)
			return
		}
		p.dial(h)
	}
	h.waiting = append(h.waiting, d)
}

// handOver lets a delivery go on a connection: the one place where that is done. The delivery may have waited for the connection,
// so all that allowed it when its host was chosen is checked once more, as of now: its time here, and by the policy its host's
// state and incarnation and what a host in slow start may be sent. A client that has left has withdrawn it. false: the delivery
// has ended, the connection is free.
func (p *HostPool) handOver(c *hostConn, d *delivery) bool {
	if d.due <= p.loop.now {
		p.endUndelivered(d, policy.NoConnection)
		return false
	}
	if !p.loop.policy.ConfirmSend(p.loop.now, d.attempt) {
		p.endUndelivered(d, policy.NotSent)
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

// nextDelivery gives a free connection its host's next delivery, or lets it be idle.
func (p *HostPool) nextDelivery(c *hostConn) {
	h := c.host
	if !h.active || c.addr != h.addr {
		c.abandon()
		return
	}
	for len(h.waiting) > 0 {
		d := h.waiting[0]
		h.waiting = h.waiting[1:]
		if p.handOver(c, d) {
			return
		}
	}
	c.idleSince = p.loop.now
	h.idle = append(h.idle, c)
}

// withdraw gives a delivery up. One still waiting for its connection never ran; else the connection is ended.
func (p *HostPool) withdraw(d *delivery, outcome policy.Outcome) {
	if d.conn == nil {
		d.host.waiting = slices.DeleteFunc(d.host.waiting, func(other *delivery) bool { return other == d })
		p.endUndelivered(d, policy.NoConnection)
		return
	}
	d.conn.delivery = nil
	switch {
	case mutation.CancelledConnectionReused:
		p.nextDelivery(d.conn)
	case !mutation.CancelledAttemptLeftInFlight:
		d.conn.abandon()
	}
	p.endUndelivered(d, outcome)
}

// endUndelivered ends a delivery that no connection answers for. The loop reports it after the present call of the policy.
func (p *HostPool) endUndelivered(d *delivery, outcome policy.Outcome) {
	if d.index < 0 { // it has ended before
		return
	}
	heap.Remove(&p.loop.timeouts, d.index)
	if mutation.ResetCountsAsNeverRan && outcome == policy.TimedOut {
		outcome = policy.NoConnection
	}
	d.outcome = outcome
	p.loop.endedDeliveries = append(p.loop.endedDeliveries, d)
}
