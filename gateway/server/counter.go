package server

// This file owns the connections to the counter and the calls out on each. Answers come in the order of the calls;
// a call that is late has been told as such and keeps only its place in that order. It must never make a call again,
// and never let two calls on one name be answered out of their order.

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	counterConnCount = 8  // few calls out on each: one that breaks takes all behind it with it
	maxCallsPerConn  = 64 // out on one connection
)

type CounterClient struct {
	ctx            context.Context
	group          *errgroup.Group
	loop           *EventLoop
	callTimeout    float64 // a call is late after this
	newestAnswered float64 // when the newest call was made that has its answer
	addr           string
	conns          []*counterConn
	retired        []*counterConn // to an address that is left: they finish what is out on them
	routes         map[uint64]*nameRoute
	pending        []*counterCall // in the order of their making; the late and the answered leave from the front
	refusedCalls   []*counterCall // could not be made; told after the present call of the module
	freeCalls      []*counterCall // to be used again
	connsAttempted atomic.Int32   // connections whose first attempt is over
	store          *StoreStream   // keepers hold the counts; nil: a counter service does
	// Backoffs are those of its connections; nil: as of one alone.
	Backoffs *overload.Backoffs
}

// nameCalls are the calls out on one name: all on one connection, so that their answers keep their order.
type nameRoute struct {
	conn    *counterConn
	pending int
}

type counterCall struct {
	client       *CounterClient
	name         uint64
	madeAt       float64
	amount       float64
	slotsHeld    float64 // by copies: what of it stands for open places
	storeRequest uint64  // by copies: its number there; 0: it could not be told
	endOffset    int64   // where it ends in what is written to its connection
	reported     bool
	unusable     bool // its answer made no sense: added, but the total is not known
	references   int  // by how many lists: used again when by none
	outcome      policy.Outcome
	total        float64
	onAnswer     func() // c.answered, made once
}

type counterConn struct {
	client  *CounterClient
	addr    string
	ctx     context.Context
	stop    context.CancelFunc
	backoff *overload.Backoff // before it dials again
	wake    chan struct{}     // something is to be written; always room for one

	mu           sync.Mutex
	connected    bool
	retired      bool     // not to be made anew
	tcp          net.Conn // while it is up
	overtaken    bool     // its oldest call was overtaken long ago
	pending      []byte
	bytesAdded   int64 // bytes of calls so far
	bytesHanded  int64 // of them, handed to the system
	bytesWritten int64 // of them, taken by it
	unanswered   []*counterCall
}

func NewCounterClient(ctx context.Context, group *errgroup.Group, loop *EventLoop, callTimeout float64) *CounterClient {
	return &CounterClient{ctx: ctx, group: group, loop: loop, callTimeout: callTimeout, routes: map[uint64]*nameRoute{}}
}

// Known says whether it is known of each connection if it can be had.
func (c *CounterClient) Attempted() bool {
	if c.store != nil {
		return c.store.attempted.Load()
	}
	return int(c.connsAttempted.Load()) >= counterConnCount
}

// Use has the counter at an address from now on; without one there is no counter. Connections to the address before
// take calls until one to the new address stands, and end when nothing is out on them.
func (c *CounterClient) UseAddress(addr string) {
	if addr == c.addr {
		return
	}
	for _, conn := range c.conns {
		conn.mu.Lock()
		conn.retired = true
		if !conn.connected {
			conn.stop()
		}
		conn.mu.Unlock()
	}
	c.addr, c.retired, c.conns = addr, append(c.retired, c.conns...), nil
	for range counterConnCount {
		conn := &counterConn{client: c, addr: addr, wake: make(chan struct{}, 1), backoff: c.Backoffs.New(0.01)}
		conn.ctx, conn.stop = context.WithCancel(c.ctx)
		c.conns = append(c.conns, conn)
		c.group.Go(func() error { return conn.run(addr) })
	}
}

// leave ends the connections to an address that is left once they have nothing out and others stand.
func (c *CounterClient) closeRetired() {
	if len(c.retired) == 0 {
		return
	}
	_, connected := leastLoaded(c.conns)
	c.retired = slices.DeleteFunc(c.retired, func(conn *counterConn) bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		if conn.connected && (!connected || len(conn.unanswered) > 0) {
			return false
		}
		conn.connected = false
		conn.stop()
		return true
	})
}

// sweep ends connections that went silent: their oldest call has been out for three times the limit, and one made well
// after it was answered on another. Guards against a name whose calls all go to such a connection, as a busy one never has
// a moment without a call out, and would stay there until the connection is given up for its age alone.
func (c *CounterClient) closeOvertaken() {
	for _, conn := range c.conns {
		conn.mu.Lock()
		if conn.connected && len(conn.unanswered) > 0 && c.loop.now-conn.unanswered[0].madeAt > 3*c.callTimeout && c.newestAnswered > conn.unanswered[0].madeAt+c.callTimeout {
			conn.overtaken = true
			conn.tcp.SetReadDeadline(expired)
		}
		conn.mu.Unlock()
	}
}

// add makes a call. One that finds no connection, or no room, was not made.
func (c *CounterClient) add(name uint64, amount, life float64) {
	call := c.newCall()
	call.name, call.madeAt, call.amount = name, c.loop.now, amount
	if c.store != nil {
		if call.slotsHeld, call.storeRequest, call.references = 0, 0, 1; !c.store.report(call, life) {
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
	if route.conn == nil || !route.conn.put(call, amount, life) {
		c.refusedCalls = append(c.refusedCalls, call)
		return
	}
	call.references = 2 // by this list, and by the order of its connection
	c.pending = append(c.pending, call)
}

// drop takes a call out of one list.
func (c *CounterClient) release(call *counterCall) {
	if call.references--; call.references <= 0 {
		c.freeCalls = append(c.freeCalls, call)
	}
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

// place is the connection for a name that has no call out.
func (c *CounterClient) pickConn() *counterConn {
	best, ok := leastLoaded(c.conns)
	if !ok {
		best, _ = leastLoaded(c.retired)
	}
	return best
}

// least is the connection with the fewest calls in its order, late ones counted; false: none is up.
func leastLoaded(conns []*counterConn) (best *counterConn, ok bool) {
	fewestCalls := math.MaxInt
	for _, conn := range conns {
		conn.mu.Lock()
		n, connected := len(conn.unanswered), conn.connected
		conn.mu.Unlock()
		if connected && n < fewestCalls {
			best, fewestCalls = conn, n
		}
	}
	return best, best != nil
}

// next is when the oldest call that is out becomes late.
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

func (c *CounterClient) expire() {
	for c.nextTimeout() <= c.loop.now {
		call := c.pending[0]
		c.report(call, policy.TimedOut, 0)
	}
}

// refused tells of the calls that could not be made, after the module's call that made them.
func (c *CounterClient) reportRefused() {
	for len(c.refusedCalls) > 0 {
		call := c.refusedCalls[0]
		c.refusedCalls = c.refusedCalls[1:]
		c.report(call, policy.NoConnection, 0)
		c.release(call)
	}
}

func (c *CounterClient) report(call *counterCall, outcome policy.Outcome, total float64) {
	call.reported = true
	if c.store != nil {
		c.store.retract(call, outcome)
	} else if route := c.routes[call.name]; route.pending == 1 {
		delete(c.routes, call.name)
	} else {
		route.pending--
	}
	c.loop.policy.CounterReplied(c.loop.now, call.name, outcome, total, c.loop.now-call.madeAt)
}

// answered runs on the loop, once for each call that was made, late or not.
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

func (c *counterConn) put(call *counterCall, amount, life float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || len(c.unanswered) >= maxCallsPerConn {
		return false
	}
	before := len(c.pending)
	c.pending = http1.AppendCounterAdd(c.pending, call.name, amount, life)
	c.bytesAdded += int64(len(c.pending) - before)
	call.endOffset = c.bytesAdded
	c.unanswered = append(c.unanswered, call)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// run has one connection after another, with a pause that grows while they fail.
func (c *counterConn) run(addr string) error {
	ctx := c.ctx
	dialer := net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: -1}
	first := true
	for ctx.Err() == nil && !c.isRetired() {
		tcp, err := dialer.DialContext(ctx, "tcp", addr)
		if first {
			c.client.connsAttempted.Add(1)
			first = false
		}
		if err == nil && c.serveConn(ctx, tcp) {
			c.backoff.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.backoff.Next() * 1e9)):
		}
	}
	return nil
}

func (c *counterConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// live uses one connection until it ends, and closes it; it says whether any call was answered.
func (c *counterConn) serveConn(ctx context.Context, tcp net.Conn) (answered bool) {
	c.mu.Lock()
	c.connected, c.pending, c.bytesAdded, c.bytesHanded, c.bytesWritten, c.unanswered = true, c.pending[:0], 0, 0, 0, c.unanswered[:0]
	c.tcp, c.overtaken = tcp, false
	c.mu.Unlock()
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { c.writeLoop(ctx, tcp, done) })
	answered = c.readLoop(ctx, tcp)
	close(done)
	tcp.SetDeadline(expired)
	writer.Wait()
	tcp.Close()
	if mutation.CounterResetPanics && len(c.unanswered) > 0 {
		panic("a counter connection has ended")
	}
	c.mu.Lock()
	lost := append([]*counterCall(nil), c.unanswered...)
	c.connected, c.unanswered = false, c.unanswered[:0]
	written := c.bytesWritten
	c.mu.Unlock()
	for _, call := range lost {
		if call.unusable {
			call.outcome = policy.Failed
		} else if call.outcome = policy.NoConnection; call.endOffset <= written { // it may have been added
			call.outcome = policy.Reset
		}
		c.client.loop.post(c.client.ctx, call.onAnswer)
	}
	return answered
}

func (c *counterConn) writeLoop(ctx context.Context, tcp net.Conn, done chan struct{}) {
	var batch []byte
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			tcp.SetDeadline(expired)
			return
		case <-c.wake:
		}
		c.mu.Lock()
		batch, c.pending = c.pending, batch[:0]
		c.bytesHanded += int64(len(batch))
		c.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		n, err := tcp.Write(batch)
		c.mu.Lock()
		c.bytesWritten += int64(n)
		c.mu.Unlock()
		if err != nil {
			tcp.SetDeadline(expired)
			return
		}
	}
}

// read reads answers, each for the oldest call in the order, until the connection ends or an answer makes no sense.
func (c *counterConn) readLoop(ctx context.Context, tcp net.Conn) (answered bool) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		return false
	}
	var b http1.Message
	b.Reset(make([]byte, http1.SmallBufferBytes), true)
	for {
		tcp.SetReadDeadline(time.Now().Add(time.Second))
		if len(b.Space()) == 0 { // no total is that long
			c.markUnusable(b.Status, http1.ErrBodyTooLong)
			return true
		}
		n, stray := 0, false
		bad := raw.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			var again bool
			n, again, err = readOnce(fd, b.Space())
			stray = n > 0 && (len(c.unanswered) == 0 || c.unanswered[0].endOffset > c.bytesHanded)
			return !again
		})
		// Guards against bytes that nobody asked for: what follows them would be taken for the answer to the next call, and
		// each later answer for that of the call behind its own.
		if stray {
			c.client.loop.peerErrors.Warn().Str("counter", c.addr).Msg("bytes that no call was made for")
			return answered
		}
		for whole, bad := b.Advance(n); whole || bad != nil; whole, bad = b.Advance(n) {
			if bad == nil && b.Status < 200 { // only a word in between
				n = b.Next()
				continue
			}
			call := c.oldest()
			if call == nil {
				return answered
			}
			if bad != nil || !call.read(&b) {
				c.markUnusable(b.Status, bad)
				return true
			}
			c.mu.Lock()
			c.unanswered = c.unanswered[1:]
			c.mu.Unlock()
			answered = true
			c.client.loop.post(ctx, call.onAnswer)
			last := b.Close
			if n = b.Next(); last {
				return answered
			}
		}
		if err == nil {
			err = bad
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() && ctx.Err() == nil && !c.isStalled() {
			continue
		}
		if err != nil {
			return answered
		}
	}
}

// spoil: the oldest call has an answer that makes no sense, so it was added.
func (c *counterConn) markUnusable(status int, reason error) {
	if call := c.oldest(); call != nil {
		call.unusable = true
	}
	c.client.loop.peerErrors.Warn().Str("counter", c.addr).Int("status", status).AnErr("why", reason).Msg("answer not used, the call counts as added")
}

func (c *counterConn) oldest() *counterCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) == 0 {
		return nil
	}
	return c.unanswered[0]
}

// stuck says that the oldest call has waited far too long: nothing may come on this connection any more, and a new one
// would be noticed to work once the counter is back.
func (c *counterConn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overtaken || len(c.unanswered) > 0 && c.client.loop.clock()-c.unanswered[0].madeAt > 0.5
}

// read takes over what the counter answered; false: it made no sense, but the call was counted.
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
