package gateway

// This file owns the listener and the connections of clients: it reads requests, answers at once what is malformed,
// hands the rest to the loop and writes the one answer each gets. It must never decide about an invocation, answer
// one twice, or end a connection while an answer is owed on it.

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/http1"
	"otterseam/seeded"
)

const (
	slowest   = 2300 * time.Millisecond // a request begun must be whole after this, an answer written
	firstBy   = 2600 * time.Millisecond // the first one, since its client has connected
	lateEntry = 400 * time.Millisecond  // after the call to end, new connections still come for this long
	lastLook  = 2 * time.Millisecond    // before a connection between requests is closed
	patience  = 100 * time.Millisecond  // a new connection is not closed to make room before this
	silent    = 2000 * time.Millisecond // one on which nothing has come yet is closed after this
	resting   = 2 * time.Second         // one between requests
	look      = 250 * time.Millisecond  // how often they are looked through
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

	mu   sync.Mutex
	open map[*client]bool
}

// client is one connection: one goroutine reads requests, one writes answers.
type client struct {
	clients *Clients
	tcp     net.Conn
	answers chan answer   // room for the one that can be owed, and for the end
	free    chan struct{} // holds a token while no answer is owed
	inv     *invocation   // the last one taken
	arrived func()        // brings it to the loop
	left    func()        // says that nobody waits for it any more

	mu    sync.Mutex
	begun bool      // bytes of a request have come
	since time.Time // when it came to rest between requests; later than now: a new one, not yet to be closed
	used  bool      // bytes have come on it
	born  time.Time
	first bool // reader's: no request has been read whole
	last  bool // its last answer is written
}

// answer is what the loop hands over; status 0: the client is gone, nothing is to be written; without a request: the
// connection is at its end.
type answer struct {
	request, reply *Buffer
	status         int
	retryAfter     float64
}

// NewClients opens the listener.
func NewClients(ctx context.Context, group *errgroup.Group, loop *Loop, log zerolog.Logger, buffers *Buffers,
	listen string, accepts Accepts, most int, ready func() bool) (*Clients, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	if seeded.SharesName {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, 0xf, 1) }) // SO_REUSEPORT
		}
	}
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &Clients{ctx: ctx, group: group, loop: loop, log: log, buffers: buffers, listener: l,
		accepts: accepts, ready: ready, most: most, slowest: slowest,
		open: map[*client]bool{}}, nil
}

// Accept takes connections until the listener is closed. Out of descriptors, or at its limit, it makes room by
// closing the connection that has rested longest, and goes on.
func (cs *Clients) Accept() error {
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
		c := &client{clients: cs, tcp: tcp, answers: make(chan answer, 2), free: make(chan struct{}, 1),
			born: time.Now(), first: true, since: time.Now().Add(patience)}
		c.arrived = func() { cs.loop.take(c.inv) }
		c.left = func() { cs.loop.gone(c.inv) }
		c.free <- struct{}{}
		cs.mu.Lock()
		cs.open[c] = true
		n := len(cs.open)
		cs.mu.Unlock()
		cs.group.Go(func() error { c.write(); return nil })
		cs.group.Go(func() error { c.serve(); return nil })
		if n > cs.most/2 { // before clients have no connection left for their next request
			cs.makeRoom()
		}
		for ; n >= cs.most && cs.ctx.Err() == nil; n = cs.count() {
			if !cs.makeRoom() {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

func (cs *Clients) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// makeRoom ends the connection that has said nothing for longest since it came, else the one that has rested longest
// between requests. Guards against silent ones by the hundred, for which those of usual clients were closed.
func (cs *Clients) makeRoom() bool {
	var oldest *client
	var least time.Time
	used, now := true, time.Now()
	cs.mu.Lock()
	for c := range cs.open {
		c.mu.Lock()
		if rests := !c.since.IsZero() && c.since.Before(now); rests && (oldest == nil || used && !c.used ||
			used == c.used && c.since.Before(least)) {
			oldest, least, used = c, c.since, c.used
		}
		c.mu.Unlock()
	}
	cs.mu.Unlock()
	return oldest != nil && oldest.poke()
}

// Sweep ends connections that have rested for long. Guards against clients that ask once, or never, and stay: they
// would hold descriptors and memory for good.
func (cs *Clients) Sweep() error {
	for tick := time.NewTicker(look); ; {
		select {
		case <-cs.ctx.Done():
			tick.Stop()
			return nil
		case now := <-tick.C:
			cs.mu.Lock()
			for c := range cs.open {
				if c.rested(now) {
					c.poke()
				}
			}
			cs.mu.Unlock()
		}
	}
}

func (c *client) rested(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := resting
	if !c.used {
		limit = silent - patience
	}
	return !c.since.IsZero() && now.Sub(c.since) > limit
}

// End answers all that has been taken and closes every connection between requests. New connections are still taken
// for a while, as the front sends them, each for one request.
func (cs *Clients) End(limit time.Duration) {
	cs.ending.Store(true)
	if seeded.TermCuts {
		cs.Close()
		cs.mu.Lock()
		for c := range cs.open {
			c.tcp.Close()
		}
		cs.mu.Unlock()
		return
	}
	time.Sleep(lateEntry)
	until := time.Now().Add(limit)
	for quiet := 0; quiet < 3 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		cs.mu.Lock()
		for c := range cs.open {
			c.poke()
		}
		if quiet++; len(cs.open) > 0 {
			quiet = 0
		}
		cs.mu.Unlock()
	}
	cs.listener.Close()
}

// Close ends the listener and every connection.
func (cs *Clients) Close() {
	cs.listener.Close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		c.tcp.SetDeadline(past)
	}
}

// serve reads requests until the connection ends, waits until nothing is owed on it, and closes it: the one place
// where that is done.
func (c *client) serve() {
	cs := c.clients
	b, n := cs.buffers.Take(false), 0
	for {
		status, call := c.request(b, n)
		if status < 0 || !c.settled() { // at its end, or the answer before this one can't be written any more
			break
		}
		next, more := cs.buffers.Follow(b)
		if n = more; next == nil {
			status = 503
			next = cs.buffers.Take(false)
		}
		if status > 0 {
			last := status != 200 || b.Close || cs.ending.Load()
			c.tcp.SetWriteDeadline(time.Now().Add(cs.slowest))
			c.tcp.Write(http1.AppendOwn(b.Bytes[:0], status, 0, last))
			cs.buffers.Give(b)
			if b = next; last {
				c.linger()
				break
			}
			c.next(n)
			c.rest()
			continue
		}
		<-c.free
		c.inv = &invocation{Call: call, from: c, request: b}
		b = next
		c.next(n)
		cs.loop.tell(cs.ctx, c.arrived)
	}
	cs.buffers.Give(b)
	select {
	case <-c.free:
	default: // an answer is owed, and nobody is there to take it
		cs.loop.tell(cs.ctx, c.left)
		select {
		case <-c.free:
		case <-cs.ctx.Done():
		}
	}
	c.answers <- answer{}
	cs.mu.Lock()
	delete(cs.open, c)
	cs.mu.Unlock()
	c.tcp.Close()
}

// settled waits until no answer is owed; false: the connection was ended with the last one.
func (c *client) settled() bool {
	select {
	case <-c.free:
	case <-c.clients.ctx.Done():
		return false
	}
	c.free <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.last
}

// linger lets a client that is still sending read why it is refused, before the connection is reset.
func (c *client) linger() {
	if t, ok := c.tcp.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.tcp.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	for b := make([]byte, 4<<10); ; {
		if _, err := c.tcp.Read(b); err != nil {
			return
		}
	}
}

// rest notes that an answer is written; begin, that bytes of the next request have come.
func (c *client) rest() {
	c.mu.Lock()
	if !c.begun {
		c.since = time.Now()
	}
	c.mu.Unlock()
}

// next: the request before has been read; n bytes of the next have come.
func (c *client) next(n int) {
	c.mu.Lock()
	c.begun = n > 0
	c.mu.Unlock()
}

func (c *client) begin() {
	c.mu.Lock()
	c.begun, c.used, c.since = true, true, time.Time{}
	c.mu.Unlock()
}

// poke ends the connection if it rests between requests; a request that comes at this moment is still served.
func (c *client) poke() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.since.IsZero() || time.Now().Before(c.since) {
		return false
	}
	c.since = time.Time{}
	c.tcp.SetReadDeadline(past)
	return true
}

// request reads one request into b, n bytes of which have come. It gives status 0 and the call for an invocation, a
// status to answer at once, or -1 when the connection is at its end.
func (c *client) request(b *Buffer, n int) (status int, call http1.Call) {
	whole, err := false, error(nil)
	if n > 0 {
		whole, err = b.Got(n)
	}
	for timed, asked := false, false; !whole && err == nil; {
		if !b.Empty() && !timed { // a request begun must come to its end
			timed = true
			by := time.Now().Add(c.clients.slowest)
			if latest := c.born.Add(firstBy); c.first && latest.Before(by) {
				by = latest
			}
			c.tcp.SetReadDeadline(by)
		}
		if len(b.Space()) == 0 && !c.clients.buffers.Grow(b, c.clients.buffers.most/2) {
			return 503, call // guards against a crowd of large bodies: hosts' answers need rooms too
		}
		var bad error
		if n, bad = c.tcp.Read(b.Space()); n > 0 {
			if b.Empty() {
				c.begin()
			}
			if whole, err = b.Got(n); whole && timed {
				c.tcp.SetReadDeadline(time.Time{})
			}
			b.Close = b.Close || asked
		} else if bad != nil {
			var ne net.Error
			if !errors.As(bad, &ne) || !ne.Timeout() {
				return -1, call
			}
			// Called to end, or too slow: but not before what is owed has been written. A request may have come as the
			// call did; closed unread, it would be lost, so there is one more look.
			if !c.settled() || asked || timed {
				return -1, call
			}
			asked = true
			c.tcp.SetReadDeadline(time.Now().Add(lastLook))
		}
	}
	c.first = false
	switch {
	case errors.Is(err, http1.ErrHeadTooLong):
		return 431, call
	case errors.Is(err, http1.ErrBodyTooLong):
		return 413, call
	case err != nil:
		return 400, call
	case string(b.Target) == http1.HealthPath:
		if c.clients.ready() && !c.clients.ending.Load() {
			return 200, call
		}
		return 503, call
	}
	call, ok := http1.ReadCall(&b.Message)
	if !ok || string(b.Method) == "GET" && len(b.Body) > 0 {
		return 400, call
	}
	// What makes no sense by the settings is malformed too: counted or sent, it would be load on one customer's name.
	limit, ok := c.clients.accepts(call.Operation, string(b.Method), call.Plan, call.Units, call.Width, call.First)
	if !ok {
		return 400, call
	}
	if limit > 0 {
		call.Limit = min(call.Limit, limit)
	}
	return 0, call
}

// write writes the answers the loop hands over, each into the buffer of its request, and gives both buffers back.
func (c *client) write() {
	cs := c.clients
	for {
		a := <-c.answers
		if a.request == nil {
			return
		}
		last := a.request.Close || cs.ending.Load()
		out := a.request.Bytes[:0]
		switch {
		case a.status == 0:
			out = nil
		case a.reply != nil:
			out = http1.AppendAnswer(out, &a.reply.Message, last)
		default:
			out = http1.AppendOwn(out, a.status, a.retryAfter, last)
		}
		if seeded.AnswerLost && a.status == 429 && int(a.retryAfter*1e6)%5 == 0 {
			out = nil
		}
		if seeded.AnswerTwice && a.reply != nil {
			out = append(out, out...)
		}
		if len(out) > 0 {
			c.tcp.SetWriteDeadline(time.Now().Add(cs.slowest))
			if _, err := c.tcp.Write(out); err != nil {
				last = true
			}
		}
		cs.buffers.Give(a.request)
		cs.buffers.Give(a.reply)
		if last {
			c.mu.Lock()
			c.last = true
			c.mu.Unlock()
			c.tcp.SetReadDeadline(past) // the reader closes
		}
		c.rest()
		c.free <- struct{}{}
	}
}
