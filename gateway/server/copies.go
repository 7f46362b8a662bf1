package server

// This file owns the stream to a keeper, by which what this api gateway holds for others is held elsewhere too. What to ask
// and what an answer means is lodge's to say. It must never let a delivery begin whose mark is not known to be held, nor
// hold up a final answer.

import (
	"bufio"
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/policy"
	quotaclient "otterseam/quotastore/client"
	"otterseam/quotastore/protocol"
)

const (
	markWait   = 0.4     // part of an invocation's time for which its mark is waited for
	mostSaying = 1 << 20 // bytes that wait to be sent
	mostSaid   = 1 << 20 // bytes of one answer
	copiesTurn = 0.05    // seconds between looks at what is to be told
)

type Copies struct {
	ctx     context.Context
	group   *errgroup.Group
	loop    *Loop
	addrs   []string
	at      int // which of them is reached now
	lodge   *quotaclient.Client
	counts  bool
	marks   bool
	use     bool
	calls   map[uint64]*call
	marking map[uint64]*invocation
	turnAt  float64
	tried   atomic.Bool
	lost    bool // something was asked of nobody

	mu      sync.Mutex
	up      bool
	pending []byte
	wake    chan struct{}
	tcp     net.Conn
}

// NewCopies begins to reach keepers, one after another from a place in their list on. name is of this process alone.
func NewCopies(ctx context.Context, group *errgroup.Group, loop *Loop, addrs []string, name string, from int) *Copies {
	c := &Copies{
		ctx: ctx, group: group, loop: loop, addrs: addrs, at: max(0, from) % len(addrs), lodge: quotaclient.New(name), calls: map[uint64]*call{},
		marking: map[uint64]*invocation{}, wake: make(chan struct{}, 1),
	}
	group.Go(c.run)
	return c
}

// Hold says what keepers hold. It is called before anything else happens.
func (c *Copies) Hold(counter *Counter, counts, marks, use bool) {
	c.counts, c.marks, c.use = counts, marks, use
	c.loop.copies = c
	if counts {
		counter.copies = c
	}
}

// next is when turn wants to be called.
func (c *Copies) next() float64 {
	if c == nil {
		return math.Inf(1)
	}
	return c.turnAt
}

// turn tells what is to be told, and lets go of marks that were waited for too long.
func (c *Copies) turn() {
	if c == nil || c.loop.now < c.turnAt && len(c.marking) == 0 && !c.lost {
		return
	}
	now := c.loop.now
	if c.lost {
		c.lost = false
		c.broken()
	}
	if now >= c.turnAt {
		c.turnAt = now + copiesTurn
		if c.counts {
			c.lodge.ClearUnreported()
			c.loop.module.UnreportedUnits(func(name uint64, units, life float64) { c.lodge.SetUnreported(now, nameOf(name), units, life) })
		}
		for _, inv := range c.marking { // each by itself: the order does not show
			if now > inv.giveUp-(1-markWait)*inv.Timeout {
				c.unmarked(inv)
			}
		}
		for line := c.lodge.NextLogLine(); line != ""; line = c.lodge.NextLogLine() {
			c.loop.Log(line)
		}
	}
	c.send(c.lodge.TakeRequests(now))
}

func nameOf(name uint64) string { return strconv.FormatUint(name, 10) }

// put tells a count; false: it can't be told now.
func (c *Copies) put(k *call, life float64) (ok bool) {
	if !c.standing() {
		return false
	}
	k.asked, k.opened, ok = c.lodge.ReportUsage(c.loop.now, nameOf(k.name), k.amount, c.loop.module.CountedSlots(k.name), life)
	if !ok {
		k.asked = 0
		return false
	}
	c.calls[k.asked] = k
	c.send(c.lodge.TakeRequests(c.loop.now))
	return true
}

// missed: a call that was told has no total, and the module will tell of it again. A late one's places stay, as the module
// takes them for added.
func (c *Copies) missed(k *call, how policy.Outcome) {
	if k.asked == 0 || how == policy.Succeeded {
		return
	}
	delete(c.calls, k.asked)
	c.lodge.RetractUsage(nameOf(k.name), k.amount, k.opened, how == policy.TimedOut)
}

// mark has an invocation wait until its mark is held; false: it need not.
func (c *Copies) mark(inv *invocation) bool {
	if c == nil || !c.marks {
		return false
	}
	scope, needs := c.loop.module.DedupScope(inv.Operation)
	if !needs {
		return false
	}
	if !c.standing() {
		inv.from.answers <- answer{request: inv.request, status: 503, retryAfter: 1}
		return true
	}
	n := c.lodge.AcquireMarker(inv.Ref, scope, inv.Timeout)
	inv.asked, c.marking[n] = n, inv
	c.send(c.lodge.TakeRequests(c.loop.now))
	return true
}

// unmarked: it is not known whether a delivery may begin, so none does; nothing was sent, and trying again is harmless.
func (c *Copies) unmarked(inv *invocation) {
	delete(c.marking, inv.asked)
	c.lodge.ReleaseMarker(inv.Ref)
	inv.from.answers <- answer{request: inv.request, status: 503, retryAfter: 1}
}

// left: the client of an invocation whose mark is waited for has gone; false: it isn't waited for.
func (c *Copies) left(inv *invocation) bool {
	if c == nil || c.marking[inv.asked] != inv {
		return false
	}
	delete(c.marking, inv.asked)
	c.lodge.ReleaseMarker(inv.Ref)
	inv.from.answers <- answer{request: inv.request}
	return true
}

// over: an invocation has its final answer.
func (c *Copies) over(inv *invocation, status int) {
	if c == nil {
		return
	}
	if inv.marked && !inv.sent {
		c.lodge.ReleaseMarker(inv.Ref)
	}
	if c.use && status == 200 {
		c.lodge.MeterUsage(inv.Plan+" "+inv.Customer, inv.Units)
	}
}

// heard takes an answer. It runs on the loop.
func (c *Copies) heard(r *protocol.Response) { c.means(c.lodge.HandleResponse(c.loop.now, r)) }

func (c *Copies) means(w quotaclient.Outcome) {
	switch w.Kind {
	case quotaclient.UsageReported:
		k := c.calls[w.RequestID]
		if k == nil || k.told {
			return
		}
		delete(c.calls, w.RequestID)
		for _, x := range c.loop.counter.calls { // the module takes a name's answers in order
			if x == k {
				break
			}
			if !x.told && x.name == k.name {
				c.loop.counter.tellOf(x, policy.TimedOut, 0)
			}
		}
		how := policy.Succeeded
		switch {
		case w.Rejected:
			how = policy.Rejected
		case w.Unknown:
			how = policy.Reset
		}
		c.loop.counter.tellOf(k, how, w.Total)
	case quotaclient.MarkerAcquired, quotaclient.MarkerHeld, quotaclient.MarkerUnknown:
		inv := c.marking[w.RequestID]
		if inv == nil {
			return
		}
		if w.Kind == quotaclient.MarkerUnknown {
			c.unmarked(inv)
			return
		}
		delete(c.marking, w.RequestID)
		if w.Kind == quotaclient.MarkerHeld { // begun by another, or for a client that sent it twice
			inv.from.answers <- answer{request: inv.request, status: 409}
			return
		}
		inv.marked = true
		c.loop.admit(inv)
	}
}

// broken: the stream has ended. It runs on the loop.
func (c *Copies) broken() {
	for _, w := range c.lodge.StreamLost() {
		c.means(w)
	}
}

func (c *Copies) standing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

func (c *Copies) send(all []protocol.Request) {
	if len(all) == 0 {
		return
	}
	text, err := protocol.RequestsFrame(all).AppendTo(nil)
	if err != nil {
		c.loop.Log("copies: " + err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up {
		c.lost = true
		return
	}
	if len(c.pending) > mostSaying { // it reads nothing
		c.tcp.SetDeadline(past)
		return
	}
	c.pending = append(c.pending, text...)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run has one connection after another, to the next keeper each time, with a pause once all were tried.
func (c *Copies) run() error {
	failed := 0
	for c.ctx.Err() == nil {
		d := net.Dialer{Timeout: 300 * time.Millisecond}
		tcp, err := d.DialContext(c.ctx, "tcp", c.addrs[c.at])
		c.tried.Store(true)
		if err == nil {
			if c.live(tcp) {
				failed = 0
			}
		}
		c.at = (c.at + 1) % len(c.addrs)
		if failed++; failed >= len(c.addrs) {
			select {
			case <-c.ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			failed = 0
		}
	}
	return nil
}

// live uses one connection until it ends; it says whether anything was answered.
func (c *Copies) live(tcp net.Conn) (answered bool) {
	hello, err := protocol.ClientHello().AppendTo(nil)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.up, c.tcp = true, tcp
	c.pending = append(c.pending[:0], hello...)
	c.mu.Unlock()
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { c.write(tcp, done) })
	select {
	case c.wake <- struct{}{}:
	default:
	}
	r := bufio.NewReaderSize(tcp, 8<<10)
	for {
		// A keeper answers the word that the holder is there each second: silence is a keeper that is gone.
		tcp.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
		f, err := protocol.ReadFrame(r, mostSaid)
		if err != nil {
			break
		}
		answered = true
		for i := range f.Responses {
			reply := &f.Responses[i]
			c.loop.tell(c.ctx, func() { c.heard(reply) })
		}
	}
	c.mu.Lock()
	c.up = false
	c.mu.Unlock()
	close(done)
	tcp.SetDeadline(past)
	writer.Wait()
	tcp.Close()
	c.loop.tell(c.ctx, c.broken)
	return answered
}

func (c *Copies) write(tcp net.Conn, done chan struct{}) {
	var going []byte
	for {
		select {
		case <-done:
			return
		case <-c.ctx.Done():
			tcp.SetDeadline(past)
			return
		case <-c.wake:
		}
		c.mu.Lock()
		going, c.pending = c.pending, going[:0]
		c.mu.Unlock()
		if len(going) == 0 {
			continue
		}
		if _, err := tcp.Write(going); err != nil {
			tcp.SetDeadline(past)
			return
		}
	}
}
