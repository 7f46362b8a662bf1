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
	counterConns = 8  // few calls out on each: one that breaks takes all behind it with it
	mostCalls    = 64 // out on one connection
)

type Counter struct {
	ctx    context.Context
	group  *errgroup.Group
	loop   *Loop
	limit  float64 // a call is late after this
	newest float64 // when the newest call was made that has its answer
	addr   string
	conns  []*counterConn
	old    []*counterConn // to an address that is left: they finish what is out on them
	names  map[uint64]*nameCalls
	calls  []*call      // in the order of their making; the late and the answered leave from the front
	none   []*call      // could not be made; told after the present call of the module
	spare  []*call      // to be used again
	tried  atomic.Int32 // connections whose first attempt is over
	copies *Copies      // keepers hold the counts; nil: a counter service does
	// Backoffs are those of its connections; nil: as of one alone.
	Backoffs *overload.Backoffs
}

// nameCalls are the calls out on one name: all on one connection, so that their answers keep their order.
type nameCalls struct {
	conn *counterConn
	n    int
}

type call struct {
	counter *Counter
	name    uint64
	made    float64
	amount  float64
	opened  float64 // by copies: what of it stands for open places
	asked   uint64  // by copies: its number there; 0: it could not be told
	until   int64   // where it ends in what is written to its connection
	told    bool
	spoilt  bool // its answer made no sense: added, but the total is not known
	held    int  // by how many lists: used again when by none
	how     policy.Outcome
	sum     float64
	answer  func() // c.answered, made once
}

type counterConn struct {
	counter *Counter
	addr    string
	ctx     context.Context
	stop    context.CancelFunc
	pause   *overload.Backoff // before it dials again
	wake    chan struct{}     // something is to be written; always room for one

	mu      sync.Mutex
	up      bool
	left    bool     // not to be made anew
	tcp     net.Conn // while it is up
	mute    bool     // its oldest call was overtaken long ago
	pending []byte
	added   int64 // bytes of calls so far
	handed  int64 // of them, handed to the system
	written int64 // of them, taken by it
	order   []*call
}

func NewCounter(ctx context.Context, group *errgroup.Group, loop *Loop, limit float64) *Counter {
	return &Counter{ctx: ctx, group: group, loop: loop, limit: limit, names: map[uint64]*nameCalls{}}
}

// Known says whether it is known of each connection if it can be had.
func (c *Counter) Known() bool {
	if c.copies != nil {
		return c.copies.tried.Load()
	}
	return int(c.tried.Load()) >= counterConns
}

// Use has the counter at an address from now on; without one there is no counter. Connections to the address before
// take calls until one to the new address stands, and end when nothing is out on them.
func (c *Counter) Use(addr string) {
	if addr == c.addr {
		return
	}
	for _, k := range c.conns {
		k.mu.Lock()
		k.left = true
		if !k.up {
			k.stop()
		}
		k.mu.Unlock()
	}
	c.addr, c.old, c.conns = addr, append(c.old, c.conns...), nil
	for range counterConns {
		k := &counterConn{counter: c, addr: addr, wake: make(chan struct{}, 1), pause: c.Backoffs.New(0.01)}
		k.ctx, k.stop = context.WithCancel(c.ctx)
		c.conns = append(c.conns, k)
		c.group.Go(func() error { return k.run(addr) })
	}
}

// leave ends the connections to an address that is left once they have nothing out and others stand.
func (c *Counter) leave() {
	if len(c.old) == 0 {
		return
	}
	_, standing := least(c.conns)
	c.old = slices.DeleteFunc(c.old, func(k *counterConn) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.up && (!standing || len(k.order) > 0) {
			return false
		}
		k.up = false
		k.stop()
		return true
	})
}

// sweep ends connections that went silent: their oldest call has been out for three times the limit, and one made well
// after it was answered on another. Guards against a name whose calls all go to such a connection, as a busy one never has
// a moment without a call out, and would stay there until the connection is given up for its age alone.
func (c *Counter) sweep() {
	for _, k := range c.conns {
		k.mu.Lock()
		if k.up && len(k.order) > 0 && c.loop.now-k.order[0].made > 3*c.limit && c.newest > k.order[0].made+c.limit {
			k.mute = true
			k.tcp.SetReadDeadline(past)
		}
		k.mu.Unlock()
	}
}

// add makes a call. One that finds no connection, or no room, was not made.
func (c *Counter) add(name uint64, amount, life float64) {
	k := c.take()
	k.name, k.made, k.amount = name, c.loop.now, amount
	if c.copies != nil {
		if k.opened, k.asked, k.held = 0, 0, 1; !c.copies.put(k, life) {
			c.none = append(c.none, k)
			return
		}
		c.calls = append(c.calls, k)
		return
	}
	at := c.names[name]
	if at == nil {
		at = &nameCalls{conn: c.place()}
		c.names[name] = at
	}
	at.n++
	if at.conn == nil || !at.conn.put(k, amount, life) {
		c.none = append(c.none, k)
		return
	}
	k.held = 2 // by this list, and by the order of its connection
	c.calls = append(c.calls, k)
}

// drop takes a call out of one list.
func (c *Counter) drop(k *call) {
	if k.held--; k.held <= 0 {
		c.spare = append(c.spare, k)
	}
}

func (c *Counter) take() *call {
	if n := len(c.spare); n > 0 {
		k := c.spare[n-1]
		c.spare = c.spare[:n-1]
		k.told, k.spoilt, k.held = false, false, 0
		return k
	}
	k := &call{counter: c}
	k.answer = k.answered
	return k
}

// place is the connection for a name that has no call out.
func (c *Counter) place() *counterConn {
	best, ok := least(c.conns)
	if !ok {
		best, _ = least(c.old)
	}
	return best
}

// least is the connection with the fewest calls in its order, late ones counted; false: none is up.
func least(conns []*counterConn) (best *counterConn, ok bool) {
	fewest := math.MaxInt
	for _, k := range conns {
		k.mu.Lock()
		n, up := len(k.order), k.up
		k.mu.Unlock()
		if up && n < fewest {
			best, fewest = k, n
		}
	}
	return best, best != nil
}

// next is when the oldest call that is out becomes late.
func (c *Counter) next() float64 {
	for len(c.calls) > 0 && c.calls[0].told {
		k := c.calls[0]
		c.calls = c.calls[1:]
		c.drop(k)
	}
	if len(c.calls) == 0 {
		return math.Inf(1)
	}
	return c.calls[0].made + c.limit
}

func (c *Counter) expire() {
	for c.next() <= c.loop.now {
		k := c.calls[0]
		c.tellOf(k, policy.TimedOut, 0)
	}
}

// refused tells of the calls that could not be made, after the module's call that made them.
func (c *Counter) refused() {
	for len(c.none) > 0 {
		k := c.none[0]
		c.none = c.none[1:]
		c.tellOf(k, policy.NoConnection, 0)
		c.drop(k)
	}
}

func (c *Counter) tellOf(k *call, how policy.Outcome, sum float64) {
	k.told = true
	if c.copies != nil {
		c.copies.missed(k, how)
	} else if at := c.names[k.name]; at.n == 1 {
		delete(c.names, k.name)
	} else {
		at.n--
	}
	c.loop.module.CounterReplied(c.loop.now, k.name, how, sum, c.loop.now-k.made)
}

// answered runs on the loop, once for each call that was made, late or not.
func (k *call) answered() {
	if k.how == policy.Succeeded {
		k.counter.newest = max(k.counter.newest, k.made)
	}
	if k.told && k.how == policy.Reset {
		k.counter.loop.module.CounterCallLost(k.name, k.amount)
	}
	if !k.told {
		k.counter.tellOf(k, k.how, k.sum)
	}
	k.counter.drop(k)
}

func (k *counterConn) put(x *call, amount, life float64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up || len(k.order) >= mostCalls {
		return false
	}
	before := len(k.pending)
	k.pending = http1.AppendCounterAdd(k.pending, x.name, amount, life)
	k.added += int64(len(k.pending) - before)
	x.until = k.added
	k.order = append(k.order, x)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return true
}

// run has one connection after another, with a pause that grows while they fail.
func (k *counterConn) run(addr string) error {
	ctx := k.ctx
	dialer := net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: -1}
	first := true
	for ctx.Err() == nil && !k.gone() {
		tcp, err := dialer.DialContext(ctx, "tcp", addr)
		if first {
			k.counter.tried.Add(1)
			first = false
		}
		if err == nil && k.live(ctx, tcp) {
			k.pause.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(k.pause.Next() * 1e9)):
		}
	}
	return nil
}

func (k *counterConn) gone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.left
}

// live uses one connection until it ends, and closes it; it says whether any call was answered.
func (k *counterConn) live(ctx context.Context, tcp net.Conn) (answered bool) {
	k.mu.Lock()
	k.up, k.pending, k.added, k.handed, k.written, k.order = true, k.pending[:0], 0, 0, 0, k.order[:0]
	k.tcp, k.mute = tcp, false
	k.mu.Unlock()
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { k.write(ctx, tcp, done) })
	answered = k.read(ctx, tcp)
	close(done)
	tcp.SetDeadline(past)
	writer.Wait()
	tcp.Close()
	if mutation.CounterResetPanics && len(k.order) > 0 {
		panic("a counter connection has ended")
	}
	k.mu.Lock()
	lost := append([]*call(nil), k.order...)
	k.up, k.order = false, k.order[:0]
	written := k.written
	k.mu.Unlock()
	for _, x := range lost {
		if x.spoilt {
			x.how = policy.Failed
		} else if x.how = policy.NoConnection; x.until <= written { // it may have been added
			x.how = policy.Reset
		}
		k.counter.loop.tell(k.counter.ctx, x.answer)
	}
	return answered
}

func (k *counterConn) write(ctx context.Context, tcp net.Conn, done chan struct{}) {
	var going []byte
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			tcp.SetDeadline(past)
			return
		case <-k.wake:
		}
		k.mu.Lock()
		going, k.pending = k.pending, going[:0]
		k.handed += int64(len(going))
		k.mu.Unlock()
		if len(going) == 0 {
			continue
		}
		n, err := tcp.Write(going)
		k.mu.Lock()
		k.written += int64(n)
		k.mu.Unlock()
		if err != nil {
			tcp.SetDeadline(past)
			return
		}
	}
}

// read reads answers, each for the oldest call in the order, until the connection ends or an answer makes no sense.
func (k *counterConn) read(ctx context.Context, tcp net.Conn) (answered bool) {
	raw, err := rawOf(tcp)
	if err != nil {
		return false
	}
	var b http1.Message
	b.Reset(make([]byte, http1.SmallBufferBytes), true)
	for {
		tcp.SetReadDeadline(time.Now().Add(time.Second))
		if len(b.Space()) == 0 { // no total is that long
			k.spoil(b.Status, http1.ErrBodyTooLong)
			return true
		}
		n, stray := 0, false
		bad := raw.Read(func(fd uintptr) bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			var again bool
			n, again, err = receive(fd, b.Space())
			stray = n > 0 && (len(k.order) == 0 || k.order[0].until > k.handed)
			return !again
		})
		// Guards against bytes that nobody asked for: what follows them would be taken for the answer to the next call, and
		// each later answer for that of the call behind its own.
		if stray {
			k.counter.loop.bad.Warn().Str("counter", k.addr).Msg("bytes that no call was made for")
			return answered
		}
		for whole, bad := b.Advance(n); whole || bad != nil; whole, bad = b.Advance(n) {
			if bad == nil && b.Status < 200 { // only a word in between
				n = b.Next()
				continue
			}
			x := k.oldest()
			if x == nil {
				return answered
			}
			if bad != nil || !x.read(&b) {
				k.spoil(b.Status, bad)
				return true
			}
			k.mu.Lock()
			k.order = k.order[1:]
			k.mu.Unlock()
			answered = true
			k.counter.loop.tell(ctx, x.answer)
			last := b.Close
			if n = b.Next(); last {
				return answered
			}
		}
		if err == nil {
			err = bad
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() && ctx.Err() == nil && !k.stuck() {
			continue
		}
		if err != nil {
			return answered
		}
	}
}

// spoil: the oldest call has an answer that makes no sense, so it was added.
func (k *counterConn) spoil(status int, why error) {
	if x := k.oldest(); x != nil {
		x.spoilt = true
	}
	k.counter.loop.bad.Warn().Str("counter", k.addr).Int("status", status).AnErr("why", why).Msg("answer not used, the call counts as added")
}

func (k *counterConn) oldest() *call {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.order) == 0 {
		return nil
	}
	return k.order[0]
}

// stuck says that the oldest call has waited far too long: nothing may come on this connection any more, and a new one
// would be noticed to work once the counter is back.
func (k *counterConn) stuck() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mute || len(k.order) > 0 && k.counter.loop.clock()-k.order[0].made > 0.5
}

// read takes over what the counter answered; false: it made no sense, but the call was counted.
func (x *call) read(m *http1.Message) bool {
	switch m.Status {
	case 200:
		sum, ok := http1.ParseNumber(m.Body)
		x.how, x.sum = policy.Succeeded, sum
		return ok
	case 503, 400, 404:
		x.how = policy.Rejected
		return true
	}
	return false
}
