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

type Hosts struct {
	ctx      context.Context
	group    *errgroup.Group
	loop     *Loop
	buffers  *Buffers
	connect  func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor  float64 // a connection idle for longer is closed, well before its host would
	most     int     // connections in all
	open     int
	byID     map[string]*host
	inOrder  []*host
	nextLook float64
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
	inv       *invocation
	in        *policy.Attempt
	host      *host
	conn      *hostConn
	sent, due float64
	at        int // in the loop's heap; -1: not there
	outcome   policy.Outcome
}

// hostConn is a connection, with one goroutine that writes and one that reads and closes it.
type hostConn struct {
	hosts *Hosts
	host  *host
	addr  string
	tcp   net.Conn
	work  chan *Buffer // requests to be written, nil: the end; always room for one and the end

	on        *delivery // loop's
	over      bool      // loop's: it has been abandoned
	idleSince float64   // loop's

	mu      sync.Mutex
	begun   bool // bytes of the request handed over last may have been written
	written bool // it has been written whole and not yet been answered
	dead    bool // nothing more is to be written

	raw     syscall.RawConn
	in      *Buffer        // reader's: the answer on its way in; nil: nothing has come
	bad     error          // reader's: what was wrong with it
	outcome policy.Outcome // of the delivery, set before told to the loop
	reply   *Buffer
	reuse   bool
	told    func() // c.ended, made once
}

func NewHosts(ctx context.Context, group *errgroup.Group, loop *Loop, buffers *Buffers, most int,
	connect, idle float64,
) *Hosts {
	if connect <= 0 {
		connect = 1
	}
	if idle <= 0 {
		idle = 10
	}
	dialer := net.Dialer{Timeout: time.Duration(connect * float64(time.Second)), KeepAlive: -1}
	return &Hosts{
		ctx: ctx, group: group, loop: loop, buffers: buffers, most: most, byID: map[string]*host{},
		connect: dialer.DialContext, idleFor: 0.6 * idle,
	}
}

// List takes over what discovery told of a host: where it is, and whether it takes new work. Its connections know their
// host and its address themselves, so that one listed under another id at the same address is another host.
func (hs *Hosts) List(id, addr string, active bool) {
	h := hs.byID[id]
	if h == nil {
		if !active {
			return
		}
		h = &host{id: id}
		hs.byID[id] = h
		hs.inOrder = append(hs.inOrder, h)
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
		hs.withdraw(h.waiting[0], policy.TimedOut)
	}
	if !active { // one that leaves is forgotten, else the list grows with every host that ever was
		delete(hs.byID, id)
		hs.inOrder = slices.DeleteFunc(hs.inOrder, func(x *host) bool { return x == h })
	}
}

// Only keeps the hosts of a whole list active.
func (hs *Hosts) Only(listed map[string]bool) {
	for _, h := range slices.Clone(hs.inOrder) {
		if !listed[h.id] {
			hs.List(h.id, h.addr, false)
		}
	}
}

// send hands a delivery to an idle connection, or lets it wait for a new one.
func (hs *Hosts) send(d *delivery, id string) {
	h := hs.byID[id]
	if d.host = h; h == nil || !h.active {
		hs.end(d, policy.NoConnection)
		return
	}
	hs.place(d)
}

// place gives a delivery of which nothing has been written a connection of its host, or lets it wait for one.
func (hs *Hosts) place(d *delivery) {
	h := d.host
	if n := len(h.idle); n > 0 {
		if hs.hand(h.idle[n-1], d) {
			h.idle = h.idle[:n-1]
		}
		return
	}
	if h.dialing <= len(h.waiting) {
		if hs.open >= hs.most && !hs.closeOne() {
			hs.end(d, policy.NoConnection)
			return
		}
		hs.dial(h)
	}
	h.waiting = append(h.waiting, d)
}

// hand lets a delivery go on a connection: the one place where that is done. It may have waited for the connection, so all
// that allowed it when its host was chosen is judged once more, as of now: its time, and by the module its host's state and
// life and what a cold host may be sent. A client that has left has withdrawn it. false: it ended, the connection is free.
func (hs *Hosts) hand(c *hostConn, d *delivery) bool {
	if d.due <= hs.loop.now {
		hs.end(d, policy.NoConnection)
		return false
	}
	if !hs.loop.module.ConfirmSend(hs.loop.now, d.in) {
		hs.end(d, policy.NotSent)
		return false
	}
	c.on, d.conn = d, c
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	b := hs.buffers.Take(false)
	b.Bytes = http1.AppendRequest(b.Bytes[:0], &d.inv.request.Message, d.due-hs.loop.now)
	if mutation.RequestDuplicated && len(d.inv.Ref) > 0 && d.inv.Ref[0] == '7' {
		b.Bytes = append(b.Bytes, b.Bytes...)
	}
	c.work <- b
	return true
}

// end tells the loop, after the present call of the module, how a delivery ended that no connection answers for.
func (hs *Hosts) end(d *delivery, how policy.Outcome) {
	if d.at < 0 { // it has ended before
		return
	}
	heap.Remove(&hs.loop.due, d.at)
	if mutation.ResetCountsAsNeverRan && how == policy.TimedOut {
		how = policy.NoConnection
	}
	d.outcome = how
	hs.loop.ended = append(hs.loop.ended, d)
}

// withdraw gives a delivery up. One still waiting for its connection never ran; else the connection is ended.
func (hs *Hosts) withdraw(d *delivery, how policy.Outcome) {
	if d.conn != nil {
		d.conn.on = nil
		switch {
		case mutation.CancelledConnectionReused:
			hs.free(d.conn)
		case !mutation.CancelledAttemptLeftInFlight:
			d.conn.abandon()
		}
		hs.end(d, how)
		return
	}
	d.host.waiting = slices.DeleteFunc(d.host.waiting, func(x *delivery) bool { return x == d })
	hs.end(d, policy.NoConnection)
}

// closeOne makes room for a new connection by closing the one idle for longest.
func (hs *Hosts) closeOne() bool {
	var from *host
	for _, h := range hs.inOrder {
		if len(h.idle) > 0 && (from == nil || h.idle[0].idleSince < from.idle[0].idleSince) {
			from = h
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].abandon()
	from.idle = from.idle[1:]
	return true
}

// sweep closes connections that have been idle for long.
func (hs *Hosts) sweep() {
	now := hs.loop.now
	if now < hs.nextLook {
		return
	}
	hs.nextLook = now + 0.5
	for _, h := range hs.inOrder {
		for len(h.idle) > 0 && now-h.idle[0].idleSince > hs.idleFor {
			h.idle[0].abandon()
			h.idle = h.idle[1:]
		}
	}
}

func (hs *Hosts) dial(h *host) {
	h.dialing++
	hs.open++
	hs.loop.module.DialStarted(hs.loop.now)
	addr := h.addr
	hs.group.Go(func() error {
		tcp, err := hs.connect(hs.ctx, "tcp", addr)
		if err != nil {
			hs.loop.tell(hs.ctx, func() { hs.failed(h) })
			return nil
		}
		c := &hostConn{hosts: hs, host: h, addr: addr, tcp: tcp, work: make(chan *Buffer, 2)}
		if c.raw, err = rawOf(tcp); err != nil {
			tcp.Close()
			hs.loop.tell(hs.ctx, func() { hs.failed(h) })
			return nil
		}
		c.told = c.ended
		hs.group.Go(func() error { c.write(); return nil })
		hs.loop.tell(hs.ctx, func() { hs.up(c) })
		c.read()
		return nil
	})
}

func (hs *Hosts) failed(h *host) {
	h.dialing--
	hs.open--
	if len(h.waiting) > h.dialing {
		hs.withdraw(h.waiting[0], policy.NoConnection)
	}
}

func (hs *Hosts) up(c *hostConn) {
	c.host.dialing--
	hs.free(c)
}

// free gives a connection its next delivery, or lets it idle.
func (hs *Hosts) free(c *hostConn) {
	h := c.host
	switch {
	case !h.active || c.addr != h.addr:
		c.abandon()
	default:
		for len(h.waiting) > 0 {
			d := h.waiting[0]
			h.waiting = h.waiting[1:]
			if hs.hand(c, d) {
				return
			}
		}
		c.idleSince = hs.loop.now
		h.idle = append(h.idle, c)
	}
}

// ended runs on the loop: a delivery was answered, or its connection broke.
func (c *hostConn) ended() {
	hs, d, reply := c.hosts, c.on, c.reply
	c.on, c.reply = nil, nil
	if d == nil || c.outcome != policy.Succeeded { // d is nil if given up on meanwhile: what still comes changes nothing
		hs.buffers.Give(reply)
		reply = nil
	}
	if mutation.ResetCountsAsNeverRan && c.outcome == policy.Reset {
		c.outcome = policy.NoConnection
	}
	if d != nil {
		heap.Remove(&hs.loop.due, d.at)
		hs.loop.after(d, c.outcome, reply)
	}
	// Last of all: with its next delivery the connection may at once be given that one's outcome, which must not be
	// taken for this one's.
	if c.reuse && !c.over {
		hs.free(c)
	}
}

// closed runs on the loop when the connection is no more.
func (c *hostConn) closed() {
	c.hosts.open--
	c.host.idle = slices.DeleteFunc(c.host.idle, func(x *hostConn) bool { return x == c })
	c.mu.Lock()
	begun := c.begun
	c.mu.Unlock()
	if d := c.on; d != nil && !begun && c.host.active { // the host is not to blame, nor is this another delivery
		c.on, d.conn = nil, nil
		c.hosts.place(d)
	} else if d != nil { // handed over just as it broke: its last byte was not written
		c.outcome, c.reuse = policy.NoConnection, false
		c.ended()
	}
	c.host.settleWaiting(c.hosts)
}

// settleWaiting dials anew for deliveries that wait while no connection is on its way.
func (h *host) settleWaiting(hs *Hosts) {
	for h.active && h.dialing < len(h.waiting) && hs.open < hs.most {
		hs.dial(h)
	}
}

// abandon ends the sending at once; the reading goroutine then closes the connection.
func (c *hostConn) abandon() {
	c.over = true
	if t, ok := c.tcp.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.tcp.SetDeadline(past)
}

func (c *hostConn) write() {
	for {
		b := <-c.work
		if b == nil {
			return
		}
		c.mu.Lock()
		// Guards against a second copy or noise behind an answer: come before this request is written but not yet read, it
		// would be taken for this one's answer. What has been read already made the connection dead.
		if !c.dead && !quiet(c.tcp) {
			c.dead = true
		}
		if !c.dead {
			c.begun = true
			_, err := c.tcp.Write(b.Bytes)
			c.written, c.dead = err == nil, err != nil
		}
		dead := c.dead
		c.mu.Unlock()
		c.hosts.buffers.Give(b)
		if dead {
			c.tcp.SetDeadline(past)
			return // closed tells the loop that the delivery never left
		}
	}
}

// read reads answers until the connection ends, and closes it: the one place where that is done.
func (c *hostConn) read() {
	stop := context.AfterFunc(c.hosts.ctx, func() { c.tcp.SetDeadline(past) })
	defer stop()
	for reuse := true; reuse; {
		var how policy.Outcome
		if bad := c.raw.Read(func(fd uintptr) (done bool) {
			how, reuse, done = c.readable(fd)
			return done
		}); bad != nil {
			how, reuse = c.broken(), false
		}
		if c.bad != nil {
			c.hosts.loop.bad.Warn().Str("host", c.host.id).Err(c.bad).Msg("answer not used")
		}
		if how != 0 {
			c.outcome, c.reply, c.reuse = how, c.in, reuse
			c.in = nil
			c.hosts.loop.tell(c.hosts.ctx, c.told)
		}
	}
	c.hosts.buffers.Give(c.in)
	c.work <- nil
	c.tcp.Close()
	c.hosts.loop.tell(c.hosts.ctx, c.closed)
}

// broken ends the connection for both sides: nothing is written any more. What was written whole has been reset.
func (c *hostConn) broken() (how policy.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered(policy.Reset, false)
}

// answered says how the delivery on the connection ended, if one was written; it runs under the lock.
func (c *hostConn) answered(how policy.Outcome, reuse bool) policy.Outcome {
	if c.dead = c.dead || !reuse || !c.written; !c.written { // bytes or an end that belong to no request
		return 0
	}
	c.written = false
	return how
}

// readable reads what stands in the system, in one step with what it means: how a delivery ended (0: it has not) and
// whether the connection can be used on.
func (c *hostConn) readable(fd uintptr) (how policy.Outcome, reuse, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.in == nil {
		c.in = c.hosts.buffers.Take(true)
	}
	if len(c.in.Space()) == 0 && !c.hosts.buffers.Grow(c.in, c.hosts.buffers.most) {
		c.bad = errNoRoom
		return c.answered(policy.Failed, false), false, true
	}
	n, again, err := receive(fd, c.in.Space())
	switch {
	case again:
		if c.in.Empty() {
			c.hosts.buffers.Give(c.in)
			c.in = nil
		}
		return 0, true, false
	case err != nil:
		if how = policy.Reset; errors.Is(err, io.EOF) && c.in.EndOfInput() { // else it may be cut short
			how = meaning(c.in)
		}
		return c.answered(how, false), false, true
	case !c.written:
		c.bad = errStray
		return c.answered(0, false), false, true
	}
	whole, bad := c.in.Advance(n)
	for whole && c.in.Status < 200 { // only a word in between
		if n = c.in.Next(); n == 0 {
			return 0, true, true
		}
		whole, bad = c.in.Advance(n)
	}
	if c.bad = bad; bad != nil {
		return c.answered(policy.Failed, false), false, true
	}
	if !whole {
		return 0, true, true
	}
	reuse = !c.in.Close && len(c.in.Rest()) == 0
	return c.answered(meaning(c.in), reuse), reuse, true
}

var errStray = errors.New("bytes that no request was written for")

func meaning(b *Buffer) policy.Outcome {
	switch {
	case b.Status == 200:
		return policy.Succeeded
	case http1.Declined(&b.Message):
		return policy.Rejected
	}
	return policy.Failed
}
