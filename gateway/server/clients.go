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
	defaultRequestTimeout = 2300 * time.Millisecond // a request begun must be whole after this, an answer written
	firstRequestTimeout   = 2500 * time.Millisecond // the first one, since its client has connected
	silentConnTimeout     = 2 * time.Second         // one on which nothing has come yet is closed after this
	idleConnTimeout       = 2 * time.Second         // one between requests
	lateAcceptPeriod      = 400 * time.Millisecond  // after the call to end, new connections still come for this long
	newConnGrace          = 100 * time.Millisecond  // one that has said nothing is not closed to make room before this
	lingerTimeout         = 200 * time.Millisecond  // what comes after the sending side was shut is read for this long
	maxLingerBytes        = 1 << 20                 // and so much of it
	reapInterval          = 200 * time.Millisecond  // how often they are looked through
)

// Accepts says whether what an invocation says of itself is known here, and for how long one of its operation is waited
// for at most.
type OperationLimit func(operation, method, plan string, units float64, width, first int) (limit float64, ok bool)

type ClientListener struct {
	ctx             context.Context
	group           *errgroup.Group
	loop            *EventLoop
	log             zerolog.Logger
	buffers         *BufferPool
	listener        net.Listener
	operationLimit  OperationLimit
	ready           func() bool
	maxOpen         int
	requestTimeout  time.Duration
	shuttingDown    atomic.Bool
	everyAnswerLast atomic.Bool   // every answer is its connection's last, whatever has come behind it
	acceptDone      chan struct{} // closed when no connection is taken any more

	mu         sync.Mutex
	conns      map[*clientConn]bool
	halfClosed atomic.Int32 // of them, how many have their sending side shut
}

// client is one connection. One goroutine receives what comes, until the end of it; one serves: it takes requests out of
// what has come, waits for their answers and writes them.
type clientConn struct {
	listener       *ClientListener
	tcp            net.Conn
	raw            syscall.RawConn
	responses      chan response // room for the one that can be owed
	requestReady   chan struct{} // holds a token when a request may have become whole
	readEnded      chan struct{} // closed when nothing more is received
	current        *invocation   // serve's: the last one taken
	submitCurrent  func()        // brings it to the loop
	abandonCurrent func()        // says that nobody waits for it any more

	mu            sync.Mutex
	input         *Buffer   // what has come and was not taken; nil: nothing
	whole         bool      // it begins with a whole request
	malformed     error     // or with what can't be one
	lastReadAt    time.Time // when bytes came last
	requestReadAt time.Time // of them, the last byte of the request
	shut          bool      // nothing more is taken
	finSent       bool      // its sending side is shut
	answerOwed    bool      // an answer is owed or being written
	used          bool      // bytes have come
	first         bool      // no request has been taken
	overflowed    bool      // more came than there is room for: what is whole is served, what came behind it is dropped
	drainedBytes  int       // bytes that came after it was shut
	acceptedAt    time.Time
	waitingSince  time.Time // what its timeouts count from: it came to rest, or the bytes of a request began to come
}

// answer is what the loop hands over; status 0: the client is gone, nothing is to be written.
type response struct {
	request, upstream *Buffer
	status            int
	retryAfter        float64
	last              bool // the connection ends with it
}

// NewClients opens the listener.
func NewClientListener(ctx context.Context, group *errgroup.Group, loop *EventLoop, log zerolog.Logger, buffers *BufferPool,
	listen string, operationLimit OperationLimit, maxOpen int, ready func() bool,
) (*ClientListener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	if mutation.AddressShared {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, 0xf, 1) }) // SO_REUSEPORT
		}
	}
	l, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &ClientListener{
		ctx: ctx, group: group, loop: loop, log: log, buffers: buffers, listener: l,
		operationLimit: operationLimit, ready: ready, maxOpen: maxOpen, requestTimeout: defaultRequestTimeout, acceptDone: make(chan struct{}),
		conns: map[*clientConn]bool{},
	}, nil
}

// Accept takes connections until the listener is closed. Out of descriptors, or at its limit, it makes room by
// closing the connection that has rested longest, and goes on.
func (l *ClientListener) Accept() error {
	defer close(l.acceptDone)
	for {
		tcp, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Warn().Err(err).Msg("accept pauses")
			l.makeRoom()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		open, halfClosed := l.serve(tcp)
		if open-halfClosed > l.maxOpen/2 { // before clients have no connection left for their next request
			l.makeRoom()
		}
		for ; open >= l.maxOpen && l.ctx.Err() == nil; open, halfClosed = l.counts() {
			if open-halfClosed < l.maxOpen || !l.makeRoom() { // room is on its way, or none is to be had
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

// take begins to serve a connection. It says how many are open, and how many of them are closing.
func (l *ClientListener) serve(tcp net.Conn) (open, halfClosed int) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		l.log.Error().Err(err).Msg("connection not served")
		tcp.Close()
		return l.counts()
	}
	now := time.Now()
	conn := &clientConn{
		listener: l, tcp: tcp, raw: raw, responses: make(chan response, 1), requestReady: make(chan struct{}, 1),
		readEnded: make(chan struct{}), acceptedAt: now, waitingSince: now, first: true,
	}
	conn.submitCurrent = func() { l.loop.accept(conn.current) }
	conn.abandonCurrent = func() { l.loop.clientGone(conn.current) }
	l.mu.Lock()
	l.conns[conn] = true
	l.mu.Unlock()
	l.group.Go(func() error { conn.readLoop(); return nil })
	l.group.Go(func() error { conn.serve(); return nil })
	return l.counts()
}

func (l *ClientListener) counts() (open, halfClosed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), int(l.halfClosed.Load())
}

// makeRoom closes the connection that has said nothing for longest since it came, else the one that has rested longest
// between requests. Guards against silent ones by the hundred, for which those of usual clients were closed.
func (l *ClientListener) makeRoom() bool {
	var victim *clientConn
	var victimSince time.Time
	victimUsed, now := true, time.Now()
	l.mu.Lock()
	for conn := range l.conns {
		conn.mu.Lock()
		if conn.isIdle(now) && (victim == nil || victimUsed && !conn.used || victimUsed == conn.used && conn.waitingSince.Before(victimSince)) {
			victim, victimSince, victimUsed = conn, conn.waitingSince, conn.used
		}
		conn.mu.Unlock()
	}
	l.mu.Unlock()
	return victim != nil && victim.closeIdle(now, 0) // room is wanted now
}

// Reap closes connections that have rested for long, and those on which a request has begun and does not come to its
// end. Guards against clients that ask once, or never, and stay: they would hold descriptors and memory for good.
func (l *ClientListener) ReapIdle() error {
	for ticker := time.NewTicker(reapInterval); ; {
		select {
		case <-l.ctx.Done():
			ticker.Stop()
			return nil
		case now := <-ticker.C:
			for _, conn := range l.connections() {
				conn.closeOverdue(now)
			}
		}
	}
}

func (l *ClientListener) connections() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Shutdown answers all that has been taken and closes every connection between requests. New connections are still
// taken for a while, as the front sends them, each for one request. The listener closes once none has come for some
// time; what it had taken till then is served like the rest.
func (l *ClientListener) Shutdown(limit time.Duration) {
	l.shuttingDown.Store(true)
	if mutation.SIGTERMCutsClients {
		l.Close()
		for _, c := range l.connections() {
			c.tcp.Close()
		}
		return
	}
	pause := func(d time.Duration) bool {
		select {
		case <-l.ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(lateAcceptPeriod) {
		return
	}
	begun := time.Now()
	for quiet := 0; time.Since(begun) < limit; {
		if time.Since(begun) > limit/4 { // those who ask again and again behind an answer would never end
			l.everyAnswerLast.Store(true)
		}
		all := l.connections()
		for _, c := range all {
			c.closeIdle(time.Now(), lingerTimeout)
		}
		if quiet++; len(all) > 0 {
			quiet = 0
		}
		if quiet == 3 {
			l.listener.Close()
			<-l.acceptDone
			if n, _ := l.counts(); n == 0 {
				return
			}
		}
		if !pause(20 * time.Millisecond) {
			return
		}
	}
	l.listener.Close()
}

// Close ends the listener and every connection.
func (l *ClientListener) Close() {
	l.listener.Close()
	for _, conn := range l.connections() {
		conn.tcp.SetDeadline(expired)
	}
}

// receive takes in what comes until the client ends its sending, or the connection breaks or has been drained. It goes
// on while an answer is owed. Guards against clients that leave with a further request behind the one in hand: both
// would still be sent on.
func (c *clientConn) readLoop() {
	defer close(c.readEnded)
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
func (c *clientConn) readable(fd uintptr) (done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input == nil && !c.shut && !c.overflowed {
		c.input, c.whole, c.malformed = c.listener.buffers.Get(false), false, nil
	}
	if !c.shut && !c.overflowed && len(c.input.Space()) == 0 && !c.listener.buffers.Grow(c.input, c.listener.buffers.maxLarge/2) {
		if c.overflowed = true; !c.whole && c.malformed == nil { // guards against a crowd of large bodies: answers need rooms too
			c.malformed = errNoBuffer
			c.wakeServer()
		}
	}
	if c.shut || c.overflowed {
		return c.drain(fd)
	}
	wasEmpty := c.input.Empty()
	n, wouldBlock, err := readOnce(fd, c.input.Space())
	if n > 0 {
		c.used, c.lastReadAt = true, time.Now()
		if wasEmpty && !c.answerOwed {
			c.waitingSince = c.lastReadAt
		}
		c.inputRead(n)
	} else if wasEmpty {
		c.listener.buffers.Put(c.input)
		c.input = nil
	}
	return !wouldBlock, err
}

var errNoBuffer = errors.New("no room for a large message")

// got: n bytes have been read into the room behind what had come.
func (c *clientConn) inputRead(count int) {
	if c.whole || c.malformed != nil {
		c.input.AdvanceRest(count)
		return
	}
	if c.whole, c.malformed = c.input.Advance(count); c.whole || c.malformed != nil {
		c.requestReadAt = c.lastReadAt
		c.wakeServer()
	}
}

// notice wakes whoever serves.
func (c *clientConn) wakeServer() {
	select {
	case c.requestReady <- struct{}{}:
	default:
	}
}

var errDrainLimit = errors.New("drained")

// drain reads and drops what is not taken any more: what comes after the sending side was shut, or behind more requests
// than there is room for. Guards against a close over unread bytes, which resets the connection and with it the answer
// before, and against a client that leaves behind so much that its leaving would not be seen.
func (c *clientConn) drain(fd uintptr) (done bool, err error) {
	scratch := c.listener.buffers.Get(false)
	defer c.listener.buffers.Put(scratch)
	n, wouldBlock, err := readOnce(fd, scratch.Space())
	if c.drainedBytes += n; err == nil && c.drainedBytes > maxLingerBytes {
		err = errDrainLimit
	}
	return !wouldBlock, err
}

// serve takes one request after the other, until there is none to come or an answer was the last.
func (c *clientConn) serve() {
	listener := c.listener
	for last := false; !last; {
		request, readAt, malformed := c.nextRequest()
		if request == nil {
			break
		}
		status, call := c.classify(request, malformed)
		resp := response{request: request, status: status, last: status != 200}
		if status == 0 {
			c.current = &invocation{Invocation: call, client: c, request: request, readAt: readAt}
			listener.loop.post(listener.ctx, c.submitCurrent)
			var ok bool
			if resp, ok = c.awaitResponse(); !ok {
				break
			}
		}
		last = c.writeResponse(resp)
	}
	c.close()
}

// next waits for the next whole request, or what can't be one, and takes it; nil: none comes any more. What stands
// behind one whose client has left is not taken.
func (c *clientConn) nextRequest() (request *Buffer, readAt time.Time, malformed error) {
	for {
		select {
		case <-c.requestReady:
		case <-c.readEnded:
			return nil, readAt, nil
		}
		select {
		case <-c.readEnded:
			return nil, readAt, nil
		default:
		}
		if request, readAt, malformed = c.takeRequest(); request != nil {
			return request, readAt, malformed
		}
	}
}

// take takes the request that has come. It and the shutting of the sending side exclude each other: one that rests is shut
// only while nothing has come, and nothing comes in once it is.
func (c *clientConn) takeRequest() (request *Buffer, readAt time.Time, malformed error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.whole && c.malformed == nil {
		return nil, readAt, nil
	}
	request, malformed, readAt = c.input, c.malformed, c.requestReadAt
	c.input, c.whole, c.malformed, c.answerOwed, c.first = nil, false, nil, true, false
	if malformed == nil && len(request.Rest()) > 0 {
		if next, n := c.listener.buffers.GetFollowing(request); next != nil {
			c.input = next
			c.inputRead(n)
		} else {
			malformed = errNoBuffer
		}
	}
	return request, readAt, malformed
}

// judge says what a request asks for: the call of an invocation, or a status to answer at once.
func (c *clientConn) classify(request *Buffer, malformed error) (status int, call http1.Invocation) {
	switch {
	case errors.Is(malformed, errNoBuffer):
		c.logRejected(503, malformed.Error())
		return 503, call
	case errors.Is(malformed, http1.ErrHeadTooLong):
		c.logRejected(431, malformed.Error())
		return 431, call
	case errors.Is(malformed, http1.ErrBodyTooLong):
		c.logRejected(413, malformed.Error())
		return 413, call
	case malformed != nil:
		c.logRejected(400, malformed.Error())
		return 400, call
	case string(request.Target) == http1.HealthPath:
		if c.listener.ready() && !c.listener.shuttingDown.Load() {
			return 200, call
		}
		return 503, call
	}
	call, ok := http1.ParseInvocation(&request.Message)
	if !ok || string(request.Method) == "GET" && len(request.Body) > 0 {
		c.logRejected(400, "a field is missing, malformed or given twice, or a body where none may be")
		return 400, call
	}
	// What makes no sense by the settings is malformed too: counted or sent, it would be load on one customer's name.
	limit, ok := c.listener.operationLimit(call.Operation, string(request.Method), call.Plan, call.Units, call.GatewayCount, call.FirstGateway)
	if !ok {
		c.logRejected(400, "an operation, method, plan, units or set that the settings do not know")
		return 400, call
	}
	if limit > 0 {
		call.Timeout = min(call.Timeout, limit)
	}
	return 0, call
}

// refused says what was wrong with a request.
func (c *clientConn) logRejected(status int, reason string) {
	c.listener.loop.peerErrors.Warn().Stringer("client", c.tcp.RemoteAddr()).Int("status", status).Str("why", reason).Msg("request refused")
}

// answered waits for the answer that is owed, and tells the loop if the client leaves before it.
func (c *clientConn) awaitResponse() (resp response, ok bool) {
	readEnded := c.readEnded
	for {
		select {
		case resp = <-c.responses:
			return resp, true
		case <-readEnded:
			readEnded = nil
			c.listener.loop.post(c.listener.ctx, c.abandonCurrent)
		case <-c.listener.ctx.Done():
			return resp, false
		}
	}
}

// write writes an answer into the buffer of its request, and gives both buffers back; it says whether it was the last.
func (c *clientConn) writeResponse(resp response) (last bool) {
	listener := c.listener
	last = c.decideLast(resp.last || resp.request.Close)
	out := resp.request.Bytes[:0]
	switch {
	case resp.status == 0:
		out = nil
	case resp.upstream != nil:
		out = http1.AppendResponse(out, &resp.upstream.Message, last)
	default:
		out = http1.AppendLocalResponse(out, resp.status, resp.retryAfter, last)
	}
	if mutation.AnswerDropped && resp.status == 429 && int(resp.retryAfter*1e6)%5 == 0 {
		out = nil
	}
	if mutation.AnswerDuplicated && resp.upstream != nil {
		out = append(out, out...)
	}
	if len(out) > 0 {
		c.tcp.SetWriteDeadline(time.Now().Add(listener.requestTimeout))
		if _, err := c.tcp.Write(out); err != nil {
			last = c.decideLast(true)
		}
	}
	listener.buffers.Put(resp.request)
	listener.buffers.Put(resp.upstream)
	c.mu.Lock()
	c.answerOwed, c.waitingSince = false, time.Now()
	c.mu.Unlock()
	return last
}

// lastAnswer says whether the answer about to be written is the connection's last: it was asked to be, the api gateway ends
// and nothing has come behind the request, or what has come behind it was cut off. From here on nothing more is taken then.
func (c *clientConn) decideLast(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener.shuttingDown.Load() && (c.input == nil || c.listener.everyAnswerLast.Load()) || c.overflowed && !c.whole {
		last = true
	}
	c.shut = c.shut || last
	return c.shut
}

// rests says whether it may be closed between requests.
func (c *clientConn) isIdle(now time.Time) bool {
	return !c.shut && !c.answerOwed && c.input == nil && (c.used || now.Sub(c.acceptedAt) >= newConnGrace)
}

// closeIdle shuts the sending side of a connection that rests, unless something stands unread on it: a request that has
// come by now is served, one that comes later is not taken, and its client knows by the end that it may send it anew.
func (c *clientConn) closeIdle(now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle(now) || !nothingUnread(c.tcp) {
		return false
	}
	c.halfClose(linger)
	return true
}

// closeOverdue shuts the sending side of a connection that has rested for too long, or whose request does not come to
// its end.
func (c *clientConn) closeOverdue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.listener.requestTimeout
	switch {
	case c.shut || c.answerOwed || c.whole || c.malformed != nil:
		return
	case c.input != nil:
		if c.first && now.Sub(c.acceptedAt) > firstRequestTimeout {
			limit = 0
		}
	case !c.used:
		limit = silentConnTimeout
	default:
		limit = idleConnTimeout
	}
	if now.Sub(c.waitingSince) > limit && (c.input != nil || nothingUnread(c.tcp)) {
		c.halfClose(lingerTimeout)
	}
}

// shutSending tells the client that nothing more will come. What it still sends is read and dropped, for a while.
func (c *clientConn) halfClose(linger time.Duration) {
	if c.finSent {
		return
	}
	c.shut, c.finSent = true, true
	c.listener.halfClosed.Add(1)
	if halfCloser, ok := c.tcp.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
	deadline := expired
	if linger > 0 && c.listener.ctx.Err() == nil {
		deadline = time.Now().Add(linger)
	}
	c.tcp.SetReadDeadline(deadline)
}

// close ends the connection: the one place where that is done. The sending side is shut first, and what the client sent
// till it saw that is read.
func (c *clientConn) close() {
	c.mu.Lock()
	c.halfClose(lingerTimeout)
	c.mu.Unlock()
	<-c.readEnded
	c.tcp.Close()
	c.listener.buffers.Put(c.input)
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.listener.halfClosed.Add(-1)
}
