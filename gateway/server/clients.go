package server

// This file owns the listener and the connections of clients: it reads requests, answers at once what is malformed,
// hands the rest to the loop one at a time, writes the one answer each gets, and closes. It must never decide about an
// invocation, answer one twice, take a request once the sending side is shut, or end a connection while an answer is
// owed on it.

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/internal/mutation"
)

const (
	requestTimeout = 2300 * time.Millisecond // a request begun must be whole after this, an answer written
	firstTimeout   = 2500 * time.Millisecond // the first one, since its client has connected
	silentTimeout  = 2 * time.Second         // one on which nothing has come yet is closed after this
	idleTimeout    = 2 * time.Second         // one between requests
	lateEntry      = 400 * time.Millisecond  // after the call to end, new connections still come for this long
	newConnection  = 100 * time.Millisecond  // one that has said nothing is not closed to make room before this
	lingerTimeout  = 200 * time.Millisecond  // what comes after the sending side was shut is read for this long
	lingerBytes    = 1 << 20                 // and so much of it
	reapEvery      = 200 * time.Millisecond  // how often they are looked through
)

// Accepts says whether what an invocation says of itself is known here, and for how long one of its operation is waited
// for at most.
type Accepts func(operation, method, plan string, units float64, width, first int) (limit float64, ok bool)

type Clients struct {
	ctx      context.Context
	group    *errgroup.Group
	loop     *Loop
	log      zerolog.Logger
	buffers  *Buffers
	listener net.Listener
	accepts  Accepts
	ready    func() bool
	most     int
	slowest  time.Duration
	ending   atomic.Bool
	allLast  atomic.Bool   // every answer is its connection's last, whatever has come behind it
	accepted chan struct{} // closed when no connection is taken any more

	mu      sync.Mutex
	open    map[*client]bool
	closing atomic.Int32 // of them, how many have their sending side shut
}

// client is one connection. One goroutine receives what comes, until the end of it; one serves: it takes requests out of
// what has come, waits for their answers and writes them.
type client struct {
	clients *Clients
	tcp     net.Conn
	raw     syscall.RawConn
	answers chan answer   // room for the one that can be owed
	came    chan struct{} // holds a token when a request may have become whole
	ended   chan struct{} // closed when nothing more is received
	inv     *invocation   // serve's: the last one taken
	arrived func()        // brings it to the loop
	left    func()        // says that nobody waits for it any more

	mu      sync.Mutex
	in      *Buffer   // what has come and was not taken; nil: nothing
	whole   bool      // it begins with a whole request
	bad     error     // or with what can't be one
	readAt  time.Time // when bytes came last
	wholeAt time.Time // of them, the last byte of the request
	shut    bool      // nothing more is taken
	finSent bool      // its sending side is shut
	busy    bool      // an answer is owed or being written
	used    bool      // bytes have come
	first   bool      // no request has been taken
	cut     bool      // more came than there is room for: what is whole is served, what came behind it is dropped
	drained int       // bytes that came after it was shut
	born    time.Time
	since   time.Time // what its timeouts count from: it came to rest, or the bytes of a request began to come
}

// answer is what the loop hands over; status 0: the client is gone, nothing is to be written.
type answer struct {
	request, reply *Buffer
	status         int
	retryAfter     float64
	last           bool // the connection ends with it
}

// NewClients opens the listener.
func NewClients(ctx context.Context, group *errgroup.Group, loop *Loop, log zerolog.Logger, buffers *Buffers,
	listen string, accepts Accepts, most int, ready func() bool,
) (*Clients, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	if mutation.AddressShared {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, 0xf, 1) }) // SO_REUSEPORT
		}
	}
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &Clients{
		ctx: ctx, group: group, loop: loop, log: log, buffers: buffers, listener: l,
		accepts: accepts, ready: ready, most: most, slowest: requestTimeout, accepted: make(chan struct{}),
		open: map[*client]bool{},
	}, nil
}

// Accept takes connections until the listener is closed. Out of descriptors, or at its limit, it makes room by
// closing the connection that has rested longest, and goes on.
func (cs *Clients) Accept() error {
	defer close(cs.accepted)
	for {
		tcp, err := cs.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			cs.log.Warn().Err(err).Msg("accept pauses")
			cs.makeRoom()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		n, closing := cs.take(tcp)
		if n-closing > cs.most/2 { // before clients have no connection left for their next request
			cs.makeRoom()
		}
		for ; n >= cs.most && cs.ctx.Err() == nil; n, closing = cs.count() {
			if n-closing < cs.most || !cs.makeRoom() { // room is on its way, or none is to be had
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

// take begins to serve a connection. It says how many are open, and how many of them are closing.
func (cs *Clients) take(tcp net.Conn) (n, closing int) {
	raw, err := rawOf(tcp)
	if err != nil {
		cs.log.Error().Err(err).Msg("connection not served")
		tcp.Close()
		return cs.count()
	}
	now := time.Now()
	c := &client{
		clients: cs, tcp: tcp, raw: raw, answers: make(chan answer, 1), came: make(chan struct{}, 1),
		ended: make(chan struct{}), born: now, since: now, first: true,
	}
	c.arrived = func() { cs.loop.take(c.inv) }
	c.left = func() { cs.loop.gone(c.inv) }
	cs.mu.Lock()
	cs.open[c] = true
	cs.mu.Unlock()
	cs.group.Go(func() error { c.receive(); return nil })
	cs.group.Go(func() error { c.serve(); return nil })
	return cs.count()
}

func (cs *Clients) count() (n, closing int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open), int(cs.closing.Load())
}

// makeRoom closes the connection that has said nothing for longest since it came, else the one that has rested longest
// between requests. Guards against silent ones by the hundred, for which those of usual clients were closed.
func (cs *Clients) makeRoom() bool {
	var oldest *client
	var least time.Time
	used, now := true, time.Now()
	cs.mu.Lock()
	for c := range cs.open {
		c.mu.Lock()
		if c.rests(now) && (oldest == nil || used && !c.used || used == c.used && c.since.Before(least)) {
			oldest, least, used = c, c.since, c.used
		}
		c.mu.Unlock()
	}
	cs.mu.Unlock()
	return oldest != nil && oldest.closeIdle(now, 0) // room is wanted now
}

// Reap closes connections that have rested for long, and those on which a request has begun and does not come to its
// end. Guards against clients that ask once, or never, and stay: they would hold descriptors and memory for good.
func (cs *Clients) Reap() error {
	for tick := time.NewTicker(reapEvery); ; {
		select {
		case <-cs.ctx.Done():
			tick.Stop()
			return nil
		case now := <-tick.C:
			for _, c := range cs.all() {
				c.closeOverdue(now)
			}
		}
	}
}

func (cs *Clients) all() []*client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Collect(maps.Keys(cs.open))
}

// Shutdown answers all that has been taken and closes every connection between requests. New connections are still
// taken for a while, as the front sends them, each for one request. The listener closes once none has come for some
// time; what it had taken till then is served like the rest.
func (cs *Clients) Shutdown(limit time.Duration) {
	cs.ending.Store(true)
	if mutation.SIGTERMCutsClients {
		cs.Close()
		for _, c := range cs.all() {
			c.tcp.Close()
		}
		return
	}
	pause := func(d time.Duration) bool {
		select {
		case <-cs.ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(lateEntry) {
		return
	}
	begun := time.Now()
	for quiet := 0; time.Since(begun) < limit; {
		if time.Since(begun) > limit/4 { // those who ask again and again behind an answer would never end
			cs.allLast.Store(true)
		}
		all := cs.all()
		for _, c := range all {
			c.closeIdle(time.Now(), lingerTimeout)
		}
		if quiet++; len(all) > 0 {
			quiet = 0
		}
		if quiet == 3 {
			cs.listener.Close()
			<-cs.accepted
			if n, _ := cs.count(); n == 0 {
				return
			}
		}
		if !pause(20 * time.Millisecond) {
			return
		}
	}
	cs.listener.Close()
}

// Close ends the listener and every connection.
func (cs *Clients) Close() {
	cs.listener.Close()
	for _, c := range cs.all() {
		c.tcp.SetDeadline(past)
	}
}

// receive takes in what comes until the client ends its sending, or the connection breaks or has been drained. It goes
// on while an answer is owed. Guards against clients that leave with a further request behind the one in hand: both
// would still be sent on.
func (c *client) receive() {
	defer close(c.ended)
	for {
		var err error
		if bad := c.raw.Read(func(fd uintptr) (done bool) {
			done, err = c.readable(fd)
			return done
		}); bad != nil || err != nil {
			return
		}
	}
}

// readable reads what stands in the system, in one step with what it means for the connection.
func (c *client) readable(fd uintptr) (done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.in == nil && !c.shut && !c.cut {
		c.in, c.whole, c.bad = c.clients.buffers.Take(false), false, nil
	}
	if !c.shut && !c.cut && len(c.in.Space()) == 0 && !c.clients.buffers.Grow(c.in, c.clients.buffers.most/2) {
		if c.cut = true; !c.whole && c.bad == nil { // guards against a crowd of large bodies: answers need rooms too
			c.bad = errNoRoom
			c.notice()
		}
	}
	if c.shut || c.cut {
		return c.drain(fd)
	}
	fresh := c.in.Empty()
	n, again, err := receive(fd, c.in.Space())
	if n > 0 {
		c.used, c.readAt = true, time.Now()
		if fresh && !c.busy {
			c.since = c.readAt
		}
		c.got(n)
	} else if fresh {
		c.clients.buffers.Give(c.in)
		c.in = nil
	}
	return !again, err
}

var errNoRoom = errors.New("no room for a large message")

// got: n bytes have been read into the room behind what had come.
func (c *client) got(n int) {
	if c.whole || c.bad != nil {
		c.in.AdvanceRest(n)
		return
	}
	if c.whole, c.bad = c.in.Advance(n); c.whole || c.bad != nil {
		c.wholeAt = c.readAt
		c.notice()
	}
}

// notice wakes whoever serves.
func (c *client) notice() {
	select {
	case c.came <- struct{}{}:
	default:
	}
}

var errDrained = errors.New("drained")

// drain reads and drops what is not taken any more: what comes after the sending side was shut, or behind more requests
// than there is room for. Guards against a close over unread bytes, which resets the connection and with it the answer
// before, and against a client that leaves behind so much that its leaving would not be seen.
func (c *client) drain(fd uintptr) (done bool, err error) {
	b := c.clients.buffers.Take(false)
	defer c.clients.buffers.Give(b)
	n, again, err := receive(fd, b.Space())
	if c.drained += n; err == nil && c.drained > lingerBytes {
		err = errDrained
	}
	return !again, err
}

// serve takes one request after the other, until there is none to come or an answer was the last.
func (c *client) serve() {
	cs := c.clients
	for last := false; !last; {
		b, at, bad := c.next()
		if b == nil {
			break
		}
		status, call := c.judge(b, bad)
		a := answer{request: b, status: status, last: status != 200}
		if status == 0 {
			c.inv = &invocation{Invocation: call, from: c, request: b, came: at}
			cs.loop.tell(cs.ctx, c.arrived)
			var ok bool
			if a, ok = c.answered(); !ok {
				break
			}
		}
		last = c.write(a)
	}
	c.close()
}

// next waits for the next whole request, or what can't be one, and takes it; nil: none comes any more. What stands
// behind one whose client has left is not taken.
func (c *client) next() (b *Buffer, at time.Time, bad error) {
	for {
		select {
		case <-c.came:
		case <-c.ended:
			return nil, at, nil
		}
		select {
		case <-c.ended:
			return nil, at, nil
		default:
		}
		if b, at, bad = c.take(); b != nil {
			return b, at, bad
		}
	}
}

// take takes the request that has come. It and the shutting of the sending side exclude each other: one that rests is shut
// only while nothing has come, and nothing comes in once it is.
func (c *client) take() (b *Buffer, at time.Time, bad error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.whole && c.bad == nil {
		return nil, at, nil
	}
	b, bad, at = c.in, c.bad, c.wholeAt
	c.in, c.whole, c.bad, c.busy, c.first = nil, false, nil, true, false
	if bad == nil && len(b.Rest()) > 0 {
		if next, n := c.clients.buffers.Follow(b); next != nil {
			c.in = next
			c.got(n)
		} else {
			bad = errNoRoom
		}
	}
	return b, at, bad
}

// judge says what a request asks for: the call of an invocation, or a status to answer at once.
func (c *client) judge(b *Buffer, bad error) (status int, call http1.Invocation) {
	switch {
	case errors.Is(bad, errNoRoom):
		c.refused(503, bad.Error())
		return 503, call
	case errors.Is(bad, http1.ErrHeadTooLong):
		c.refused(431, bad.Error())
		return 431, call
	case errors.Is(bad, http1.ErrBodyTooLong):
		c.refused(413, bad.Error())
		return 413, call
	case bad != nil:
		c.refused(400, bad.Error())
		return 400, call
	case string(b.Target) == http1.HealthPath:
		if c.clients.ready() && !c.clients.ending.Load() {
			return 200, call
		}
		return 503, call
	}
	call, ok := http1.ParseInvocation(&b.Message)
	if !ok || string(b.Method) == "GET" && len(b.Body) > 0 {
		c.refused(400, "a field is missing, malformed or given twice, or a body where none may be")
		return 400, call
	}
	// What makes no sense by the settings is malformed too: counted or sent, it would be load on one customer's name.
	limit, ok := c.clients.accepts(call.Operation, string(b.Method), call.Plan, call.Units, call.GatewayCount, call.FirstGateway)
	if !ok {
		c.refused(400, "an operation, method, plan, units or set that the settings do not know")
		return 400, call
	}
	if limit > 0 {
		call.Timeout = min(call.Timeout, limit)
	}
	return 0, call
}

// refused says what was wrong with a request.
func (c *client) refused(status int, why string) {
	c.clients.loop.bad.Warn().Stringer("client", c.tcp.RemoteAddr()).Int("status", status).Str("why", why).Msg("request refused")
}

// answered waits for the answer that is owed, and tells the loop if the client leaves before it.
func (c *client) answered() (a answer, ok bool) {
	ended := c.ended
	for {
		select {
		case a = <-c.answers:
			return a, true
		case <-ended:
			ended = nil
			c.clients.loop.tell(c.clients.ctx, c.left)
		case <-c.clients.ctx.Done():
			return a, false
		}
	}
}

// write writes an answer into the buffer of its request, and gives both buffers back; it says whether it was the last.
func (c *client) write(a answer) (last bool) {
	cs := c.clients
	last = c.lastAnswer(a.last || a.request.Close)
	out := a.request.Bytes[:0]
	switch {
	case a.status == 0:
		out = nil
	case a.reply != nil:
		out = http1.AppendResponse(out, &a.reply.Message, last)
	default:
		out = http1.AppendLocalResponse(out, a.status, a.retryAfter, last)
	}
	if mutation.AnswerDropped && a.status == 429 && int(a.retryAfter*1e6)%5 == 0 {
		out = nil
	}
	if mutation.AnswerDuplicated && a.reply != nil {
		out = append(out, out...)
	}
	if len(out) > 0 {
		c.tcp.SetWriteDeadline(time.Now().Add(cs.slowest))
		if _, err := c.tcp.Write(out); err != nil {
			last = c.lastAnswer(true)
		}
	}
	cs.buffers.Give(a.request)
	cs.buffers.Give(a.reply)
	c.mu.Lock()
	c.busy, c.since = false, time.Now()
	c.mu.Unlock()
	return last
}

// lastAnswer says whether the answer about to be written is the connection's last: it was asked to be, the api gateway ends
// and nothing has come behind the request, or what has come behind it was cut off. From here on nothing more is taken then.
func (c *client) lastAnswer(asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients.ending.Load() && (c.in == nil || c.clients.allLast.Load()) || c.cut && !c.whole {
		asked = true
	}
	c.shut = c.shut || asked
	return c.shut
}

// rests says whether it may be closed between requests.
func (c *client) rests(now time.Time) bool {
	return !c.shut && !c.busy && c.in == nil && (c.used || now.Sub(c.born) >= newConnection)
}

// closeIdle shuts the sending side of a connection that rests, unless something stands unread on it: a request that has
// come by now is served, one that comes later is not taken, and its client knows by the end that it may send it anew.
func (c *client) closeIdle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rests(now) || !quiet(c.tcp) {
		return false
	}
	c.shutSending(linger)
	return true
}

// closeOverdue shuts the sending side of a connection that has rested for too long, or whose request does not come to
// its end.
func (c *client) closeOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.clients.slowest
	switch {
	case c.shut || c.busy || c.whole || c.bad != nil:
		return
	case c.in != nil:
		if c.first && now.Sub(c.born) > firstTimeout {
			limit = 0
		}
	case !c.used:
		limit = silentTimeout
	default:
		limit = idleTimeout
	}
	if now.Sub(c.since) > limit && (c.in != nil || quiet(c.tcp)) {
		c.shutSending(lingerTimeout)
	}
}

// shutSending tells the client that nothing more will come. What it still sends is read and dropped, for a while.
func (c *client) shutSending(linger time.Duration) {
	if c.finSent {
		return
	}
	c.shut, c.finSent = true, true
	c.clients.closing.Add(1)
	if t, ok := c.tcp.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	until := past
	if linger > 0 && c.clients.ctx.Err() == nil {
		until = time.Now().Add(linger)
	}
	c.tcp.SetReadDeadline(until)
}

// close ends the connection: the one place where that is done. The sending side is shut first, and what the client sent
// till it saw that is read.
func (c *client) close() {
	c.mu.Lock()
	c.shutSending(lingerTimeout)
	c.mu.Unlock()
	<-c.ended
	c.tcp.Close()
	c.clients.buffers.Give(c.in)
	c.clients.mu.Lock()
	delete(c.clients.open, c)
	c.clients.mu.Unlock()
	c.clients.closing.Add(-1)
}
