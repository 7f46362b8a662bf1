package server

// This file owns the connections to hosts, one delivery on each at a time: who is idle, who waits for a connection,
// what a broken one means for the delivery on it. Every delivery is let go in one place (hand), where it is judged for the
// last time. It must never send a delivery again by itself, choose a host, or write to a connection whose delivery has
// been given up.

import (
	"container/heap"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

type HostPool struct {
	ctx       context.Context
	group     *errgroup.Group
	loop      *EventLoop
	buffers   *BufferPool
	connect   func(ctx context.Context, network, addr string) (net.Conn, error)
	maxIdle   float64 // a connection idle for longer is closed, well before its host would
	maxConns  int     // connections in all
	open      int
	byID      map[string]*host
	inOrder   []*host
	nextSweep float64
}

type host struct {
	id, addr string
	active   bool
	idle     []*hostConn // the last used last
	waiting  []*delivery // for a connection
	dialing  int
}

// delivery is one on its way to a host.
type delivery struct {
	invocation  *invocation
	attempt     *policy.Attempt
	host        *host
	conn        *hostConn
	sentAt, due float64
	index       int // in the loop's heap; -1: not there
	outcome     policy.Outcome
}

// hostConn is a connection, with one goroutine that writes and one that reads and closes it.
type hostConn struct {
	pool     *HostPool
	host     *host
	addr     string
	tcp      net.Conn
	requests chan *Buffer // requests to be written, nil: the end; always room for one and the end

	delivery  *delivery // loop's
	abandoned bool      // loop's: it has been abandoned
	idleSince float64   // loop's

	mu             sync.Mutex
	writeBegun     bool // bytes of the request handed over last may have been written
	awaitingAnswer bool // it has been written whole and not yet been answered
	unusable       bool // nothing more is to be written

	raw         syscall.RawConn
	answer      *Buffer        // reader's: the answer on its way in; nil: nothing has come
	problem     error          // reader's: what was wrong with it
	outcome     policy.Outcome // of the delivery, set before told to the loop
	endedAnswer *Buffer
	reuse       bool
	onEnded     func() // c.ended, made once
}

func NewHostPool(ctx context.Context, group *errgroup.Group, loop *EventLoop, buffers *BufferPool, maxConns int,
	connectTimeout, hostIdleTimeout float64,
) *HostPool {
	if connectTimeout <= 0 {
		connectTimeout = 1
	}
	if hostIdleTimeout <= 0 {
		hostIdleTimeout = 10
	}
	dialer := net.Dialer{Timeout: time.Duration(connectTimeout * float64(time.Second)), KeepAlive: -1}
	return &HostPool{
		ctx: ctx, group: group, loop: loop, buffers: buffers, maxConns: maxConns, byID: map[string]*host{},
		connect: dialer.DialContext, maxIdle: 0.6 * hostIdleTimeout,
	}
}

// List takes over what discovery told of a host: where it is, and whether it takes new work. Its connections know their
// host and its address themselves, so that one listed under another id at the same address is another host.
func (p *HostPool) UpdateHost(id, addr string, active bool) {
	h := p.byID[id]
	if h == nil {
		if !active {
			return
		}
		h = &host{id: id}
		p.byID[id] = h
		p.inOrder = append(p.inOrder, h)
	}
	moved := h.addr != addr
	if h.addr, h.active = addr, active; active && !moved {
		return
	}
	for _, c := range h.idle {
		c.abandon()
	}
	h.idle = nil
	for len(h.waiting) > 0 { // nothing new goes to a host that leaves
		p.withdraw(h.waiting[0], policy.TimedOut)
	}
	if !active { // one that leaves is forgotten, else the list grows with every host that ever was
		delete(p.byID, id)
		p.inOrder = slices.DeleteFunc(p.inOrder, func(x *host) bool { return x == h })
	}
}

// Only keeps the hosts of a whole list active.
func (p *HostPool) KeepOnly(listed map[string]bool) {
	for _, h := range slices.Clone(p.inOrder) {
		if !listed[h.id] {
			p.UpdateHost(h.id, h.addr, false)
		}
	}
}

// send hands a delivery to an idle connection, or lets it wait for a new one.
func (p *HostPool) send(d *delivery, id string) {
	h := p.byID[id]
	if d.host = h; h == nil || !h.active {
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

// hand lets a delivery go on a connection: the one place where that is done. It may have waited for the connection, so all
// that allowed it when its host was chosen is judged once more, as of now: its time, and by the module its host's state and
// life and what a cold host may be sent. A client that has left has withdrawn it. false: it ended, the connection is free.
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

// end tells the loop, after the present call of the module, how a delivery ended that no connection answers for.
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

// withdraw gives a delivery up. One still waiting for its connection never ran; else the connection is ended.
func (p *HostPool) withdraw(d *delivery, outcome policy.Outcome) {
	if d.conn != nil {
		d.conn.delivery = nil
		switch {
		case mutation.CancelledConnectionReused:
			p.nextDelivery(d.conn)
		case !mutation.CancelledAttemptLeftInFlight:
			d.conn.abandon()
		}
		p.endUndelivered(d, outcome)
		return
	}
	d.host.waiting = slices.DeleteFunc(d.host.waiting, func(x *delivery) bool { return x == d })
	p.endUndelivered(d, policy.NoConnection)
}

// closeOne makes room for a new connection by closing the one idle for longest.
func (p *HostPool) closeLongestIdle() bool {
	var longest *host
	for _, h := range p.inOrder {
		if len(h.idle) > 0 && (longest == nil || h.idle[0].idleSince < longest.idle[0].idleSince) {
			longest = h
		}
	}
	if longest == nil {
		return false
	}
	longest.idle[0].abandon()
	longest.idle = longest.idle[1:]
	return true
}

// sweep closes connections that have been idle for long.
func (p *HostPool) closeIdle() {
	now := p.loop.now
	if now < p.nextSweep {
		return
	}
	p.nextSweep = now + 0.5
	for _, h := range p.inOrder {
		for len(h.idle) > 0 && now-h.idle[0].idleSince > p.maxIdle {
			h.idle[0].abandon()
			h.idle = h.idle[1:]
		}
	}
}

func (p *HostPool) dial(h *host) {
	h.dialing++
	p.open++
	p.loop.policy.DialStarted(p.loop.now)
	addr := h.addr
	p.group.Go(func() error {
		tcp, err := p.connect(p.ctx, "tcp", addr)
		if err != nil {
			p.loop.post(p.ctx, func() { p.dialFailed(h) })
			return nil
		}
		c := &hostConn{pool: p, host: h, addr: addr, tcp: tcp, requests: make(chan *Buffer, 2)}
		if c.raw, err = rawConnOf(tcp); err != nil {
			tcp.Close()
			p.loop.post(p.ctx, func() { p.dialFailed(h) })
			return nil
		}
		c.onEnded = c.deliveryEnded
		p.group.Go(func() error { c.writeLoop(); return nil })
		p.loop.post(p.ctx, func() { p.dialed(c) })
		c.readLoop()
		return nil
	})
}

func (p *HostPool) dialFailed(h *host) {
	h.dialing--
	p.open--
	if len(h.waiting) > h.dialing {
		p.withdraw(h.waiting[0], policy.NoConnection)
	}
}

func (p *HostPool) dialed(c *hostConn) {
	c.host.dialing--
	p.nextDelivery(c)
}

// free gives a connection its next delivery, or lets it idle.
func (p *HostPool) nextDelivery(c *hostConn) {
	h := c.host
	switch {
	case !h.active || c.addr != h.addr:
		c.abandon()
	default:
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
}

// ended runs on the loop: a delivery was answered, or its connection broke.
func (c *hostConn) deliveryEnded() {
	pool, d, answer := c.pool, c.delivery, c.endedAnswer
	c.delivery, c.endedAnswer = nil, nil
	if d == nil || c.outcome != policy.Succeeded { // d is nil if given up on meanwhile: what still comes changes nothing
		pool.buffers.Put(answer)
		answer = nil
	}
	if mutation.ResetCountsAsNeverRan && c.outcome == policy.Reset {
		c.outcome = policy.NoConnection
	}
	if d != nil {
		heap.Remove(&pool.loop.timeouts, d.index)
		pool.loop.deliveryEnded(d, c.outcome, answer)
	}
	// Last of all: with its next delivery the connection may at once be given that one's outcome, which must not be
	// taken for this one's.
	if c.reuse && !c.abandoned {
		pool.nextDelivery(c)
	}
}

// closed runs on the loop when the connection is no more.
func (c *hostConn) closed() {
	c.pool.open--
	c.host.idle = slices.DeleteFunc(c.host.idle, func(x *hostConn) bool { return x == c })
	c.mu.Lock()
	begun := c.writeBegun
	c.mu.Unlock()
	if d := c.delivery; d != nil && !begun && c.host.active { // the host is not to blame, nor is this another delivery
		c.delivery, d.conn = nil, nil
		c.pool.place(d)
	} else if d != nil { // handed over just as it broke: its last byte was not written
		c.outcome, c.reuse = policy.NoConnection, false
		c.deliveryEnded()
	}
	c.host.dialForWaiting(c.pool)
}

// settleWaiting dials anew for deliveries that wait while no connection is on its way.
func (h *host) dialForWaiting(pool *HostPool) {
	for h.active && h.dialing < len(h.waiting) && pool.open < pool.maxConns {
		pool.dial(h)
	}
}

// abandon ends the sending at once; the reading goroutine then closes the connection.
func (c *hostConn) abandon() {
	c.abandoned = true
	if t, ok := c.tcp.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.tcp.SetDeadline(expired)
}

func (c *hostConn) writeLoop() {
	for {
		request := <-c.requests
		if request == nil {
			return
		}
		c.mu.Lock()
		// Guards against a second copy or noise behind an answer: come before this request is written but not yet read, it
		// would be taken for this one's answer. What has been read already made the connection dead.
		if !c.unusable && !nothingUnread(c.tcp) {
			c.unusable = true
		}
		if !c.unusable {
			c.writeBegun = true
			_, err := c.tcp.Write(request.Bytes)
			c.awaitingAnswer, c.unusable = err == nil, err != nil
		}
		unusable := c.unusable
		c.mu.Unlock()
		c.pool.buffers.Put(request)
		if unusable {
			c.tcp.SetDeadline(expired)
			return // closed tells the loop that the delivery never left
		}
	}
}

// read reads answers until the connection ends, and closes it: the one place where that is done.
func (c *hostConn) readLoop() {
	stop := context.AfterFunc(c.pool.ctx, func() { c.tcp.SetDeadline(expired) })
	defer stop()
	for reuse := true; reuse; {
		var outcome policy.Outcome
		if readErr := c.raw.Read(func(fd uintptr) (done bool) {
			outcome, reuse, done = c.readable(fd)
			return done
		}); readErr != nil {
			outcome, reuse = c.connBroken(), false
		}
		if c.problem != nil {
			c.pool.loop.peerErrors.Warn().Str("host", c.host.id).Err(c.problem).Msg("answer not used")
		}
		if outcome != 0 {
			c.outcome, c.endedAnswer, c.reuse = outcome, c.answer, reuse
			c.answer = nil
			c.pool.loop.post(c.pool.ctx, c.onEnded)
		}
	}
	c.pool.buffers.Put(c.answer)
	c.requests <- nil
	c.tcp.Close()
	c.pool.loop.post(c.pool.ctx, c.closed)
}

// broken ends the connection for both sides: nothing is written any more. What was written whole has been reset.
func (c *hostConn) connBroken() (outcome policy.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endLocked(policy.Reset, false)
}

// answered says how the delivery on the connection ended, if one was written; it runs under the lock.
func (c *hostConn) endLocked(outcome policy.Outcome, reuse bool) policy.Outcome {
	if c.unusable = c.unusable || !reuse || !c.awaitingAnswer; !c.awaitingAnswer { // bytes or an end that belong to no request
		return 0
	}
	c.awaitingAnswer = false
	return outcome
}

// readable reads what stands in the system, in one step with what it means: how a delivery ended (0: it has not) and
// whether the connection can be used on.
func (c *hostConn) readable(fd uintptr) (outcome policy.Outcome, reuse, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		c.answer = c.pool.buffers.Get(true)
	}
	if len(c.answer.Space()) == 0 && !c.pool.buffers.Grow(c.answer, c.pool.buffers.maxLarge) {
		c.problem = errNoBuffer
		return c.endLocked(policy.Failed, false), false, true
	}
	n, wouldBlock, err := readOnce(fd, c.answer.Space())
	switch {
	case wouldBlock:
		if c.answer.Empty() {
			c.pool.buffers.Put(c.answer)
			c.answer = nil
		}
		return 0, true, false
	case err != nil:
		if outcome = policy.Reset; errors.Is(err, io.EOF) && c.answer.EndOfInput() { // else it may be cut short
			outcome = answerOutcome(c.answer)
		}
		return c.endLocked(outcome, false), false, true
	case !c.awaitingAnswer:
		c.problem = errUnrequestedBytes
		return c.endLocked(0, false), false, true
	}
	whole, bad := c.answer.Advance(n)
	for whole && c.answer.Status < 200 { // only a word in between
		if n = c.answer.Next(); n == 0 {
			return 0, true, true
		}
		whole, bad = c.answer.Advance(n)
	}
	if c.problem = bad; bad != nil {
		return c.endLocked(policy.Failed, false), false, true
	}
	if !whole {
		return 0, true, true
	}
	reuse = !c.answer.Close && len(c.answer.Rest()) == 0
	return c.endLocked(answerOutcome(c.answer), reuse), reuse, true
}

var errUnrequestedBytes = errors.New("bytes that no request was written for")

func answerOutcome(answer *Buffer) policy.Outcome {
	switch {
	case answer.Status == 200:
		return policy.Succeeded
	case http1.Declined(&answer.Message):
		return policy.Rejected
	}
	return policy.Failed
}
