package server

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"otterseam/gateway/http1"
	"otterseam/internal/mutation"
)

const (
	lingerTimeout  = 200 * time.Millisecond // what comes after the sending side was shut is read for this long
	maxLingerBytes = 1 << 20                // and so much of it
)

var (
	errNoBuffer   = errors.New("no room for a large message")
	errDrainLimit = errors.New("drained")
)

// clientConn is a connection of a client. One goroutine (readLoop) reads until the end of what the client sends; one (serve)
// takes requests out of what has come, waits for their answers and writes them, one at a time.
//
// A connection is shut only while nothing has come on it, and nothing comes in once it is shut: both happen under mu.
type clientConn struct {
	listener     *ClientListener
	tcp          net.Conn
	raw          syscall.RawConn
	responses    chan response // room for the one that can be owed
	requestReady chan struct{} // holds a token when a request may be there to take
	readEnded    chan struct{} // closed when nothing more is read

	current        *invocation // the one taken last; set by serve before submitCurrent is posted
	submitCurrent  func()      // brings it to the event loop; made once for each connection, as is abandonCurrent
	abandonCurrent func()      // says that nobody waits for it any more

	mu            sync.Mutex
	state         clientState
	input         *Buffer   // what has come and was not taken; nil in inputEmpty
	malformed     error     // what is wrong with it, in inputMalformed
	lastReadAt    time.Time // when bytes came last
	requestReadAt time.Time // when the last byte of the request that stands in input came
	drainedBytes  int       // bytes that were read and dropped
}

// response is what is to be answered to a request; status 0: the client is gone, nothing is to be written.
type response struct {
	request    *Buffer
	upstream   *Buffer // the host's answer; nil: the gateway answers by itself
	status     int
	retryAfter float64 // seconds
	last       bool    // the connection ends with it
}

func newClientConn(listener *ClientListener, tcp net.Conn, raw syscall.RawConn) *clientConn {
	c := &clientConn{
		listener:     listener,
		tcp:          tcp,
		raw:          raw,
		responses:    make(chan response, 1),
		requestReady: make(chan struct{}, 1),
		readEnded:    make(chan struct{}),
		state:        newClientState(time.Now()),
	}
	c.submitCurrent = func() { listener.loop.accept(c.current) }
	c.abandonCurrent = func() { listener.loop.clientGone(c.current) }
	return c
}

// readLoop reads until the client ends its sending, or the connection breaks or has been drained. It goes on while an answer is
// owed, so that a client that leaves with a further request behind the one in progress is seen to leave, and neither is sent on.
func (c *clientConn) readLoop() {
	defer close(c.readEnded)
	for {
		var readErr error
		err := c.raw.Read(func(fd uintptr) (done bool) {
			done, readErr = c.readable(fd)
			return done
		})
		if err != nil || readErr != nil {
			return
		}
	}
}

// readable reads what stands in the system, in one step with what it means for the connection.
func (c *clientConn) readable(fd uintptr) (done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.acceptsInput() {
		c.provideBuffer()
	}
	if !c.state.acceptsInput() {
		return c.drain(fd)
	}
	wasEmpty := c.input.Empty()
	n, wouldBlock, err := readOnce(fd, c.input.Space())
	switch {
	case n > 0:
		c.lastReadAt = time.Now()
		c.state.bytesCame(c.lastReadAt, wasEmpty)
		c.advanceInput(n)
	case wasEmpty:
		c.listener.buffers.Put(c.input)
		c.input = nil
	}
	return !wouldBlock, err
}

// provideBuffer makes space for what comes next. Without space the input overflows: half of the large buffers are kept for
// answers, against a crowd of large bodies.
func (c *clientConn) provideBuffer() {
	buffers := c.listener.buffers
	if c.input == nil {
		c.input = buffers.Get(false)
	}
	if len(c.input.Space()) > 0 || buffers.Grow(c.input, buffers.maxLarge/2) {
		return
	}
	c.state.overflowed = true
	if !c.state.hasRequest() {
		c.state.input, c.malformed = inputMalformed, errNoBuffer
		c.wakeServer()
	}
}

// advanceInput takes in bytes that have been read into the space of the input.
func (c *clientConn) advanceInput(count int) {
	if c.state.hasRequest() {
		c.input.AdvanceRest(count)
		return
	}
	complete, malformed := c.input.Advance(count)
	switch {
	case malformed != nil:
		c.state.input, c.malformed = inputMalformed, malformed
	case complete:
		c.state.input = inputComplete
	default:
		c.state.input = inputPartial
		return
	}
	c.requestReadAt = c.lastReadAt
	c.wakeServer()
}

// wakeServer has serve look for a request.
func (c *clientConn) wakeServer() {
	select {
	case c.requestReady <- struct{}{}:
	default:
	}
}

// drain reads and drops what is not taken any more: what comes after the sending side was shut, or behind more requests than
// there are buffers for. A close over unread bytes would reset the connection and with it the answer before, and behind bytes
// that are never read the client's leaving would not be seen.
func (c *clientConn) drain(fd uintptr) (done bool, err error) {
	scratch := c.listener.buffers.Get(false)
	defer c.listener.buffers.Put(scratch)
	n, wouldBlock, err := readOnce(fd, scratch.Space())
	c.drainedBytes += n
	if err == nil && c.drainedBytes > maxLingerBytes {
		err = errDrainLimit
	}
	return !wouldBlock, err
}

// serve answers one request after the other, until there is none to come or an answer was the last.
func (c *clientConn) serve() {
	for c.serveRequest() {
	}
	c.close()
}

// serveRequest waits for a request and answers it; false: it was the last, or none came.
func (c *clientConn) serveRequest() (more bool) {
	request, readAt, malformed := c.nextRequest()
	if request == nil {
		return false
	}
	resp, ok := c.respond(request, readAt, malformed)
	if !ok {
		return false
	}
	last := c.writeResponse(resp)
	return !last
}

// respond finds the response to a request: at once, or from the event loop; false: the gateway has ended.
func (c *clientConn) respond(request *Buffer, readAt time.Time, malformed error) (resp response, ok bool) {
	status, details := c.classify(request, malformed)
	if status != 0 {
		return response{request: request, status: status, last: status != 200}, true
	}
	c.current = &invocation{Invocation: details, client: c, request: request, readAt: readAt}
	c.listener.loop.post(c.listener.ctx, c.submitCurrent)
	return c.awaitResponse()
}

// nextRequest waits for the next request, well formed or not, and takes it; nil: none comes any more. What stands behind a
// request whose client has left is not taken.
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
		request, readAt, malformed = c.takeRequest()
		if request != nil {
			return request, readAt, malformed
		}
	}
}

// takeRequest takes the request that has come, and moves what came behind it into a buffer of its own; nil: none has come.
func (c *clientConn) takeRequest() (request *Buffer, readAt time.Time, malformed error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.hasRequest() {
		return nil, readAt, nil
	}
	request, malformed, readAt = c.input, c.malformed, c.requestReadAt
	c.input, c.malformed = nil, nil
	c.state.requestTaken()
	if malformed == nil && len(request.Rest()) > 0 {
		next, n := c.listener.buffers.GetFollowing(request)
		if next == nil {
			return request, readAt, errNoBuffer
		}
		c.input = next
		c.advanceInput(n)
	}
	return request, readAt, malformed
}

// awaitResponse waits for the response that is owed, and tells the event loop if the client leaves before it; false: the gateway
// has ended.
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

// writeResponse writes a response into the buffer of its request, sends it, and gives both buffers back; it says whether it was
// the connection's last.
func (c *clientConn) writeResponse(resp response) (last bool) {
	last = c.decideLast(resp.last || resp.request.Close)
	if out := appendResponse(resp, last); len(out) > 0 {
		setWriteTimeout(c.tcp, c.listener.requestTimeout)
		if _, err := c.tcp.Write(out); err != nil {
			last = c.decideLast(true)
		}
	}
	c.listener.buffers.Put(resp.request)
	c.listener.buffers.Put(resp.upstream)
	c.mu.Lock()
	c.state.answerWritten(time.Now())
	c.mu.Unlock()
	return last
}

func appendResponse(resp response, last bool) []byte {
	if mutation.AnswerDropped && resp.status == 429 && int(resp.retryAfter*1e6)%5 == 0 {
		return nil
	}
	out := resp.request.Bytes[:0]
	switch {
	case resp.status == 0:
		return nil
	case resp.upstream != nil:
		out = http1.AppendResponse(out, &resp.upstream.Message, last)
	default:
		out = http1.AppendLocalResponse(out, resp.status, resp.retryAfter, last)
	}
	if mutation.AnswerDuplicated && resp.upstream != nil {
		out = append(out, out...)
	}
	return out
}

// decideLast says whether the answer about to be written is the connection's last: the caller asks for it, or the gateway shuts
// down and nothing has come behind the request, or what has come behind it was dropped. From then on no request is taken.
func (c *clientConn) decideLast(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	shuttingDown := c.listener.shuttingDown.Load() && (c.state.input == inputEmpty || c.listener.everyAnswerLast.Load())
	dropped := c.state.overflowed && c.state.input != inputComplete
	if last || shuttingDown || dropped {
		c.state.finish()
	}
	return c.state.phase != phaseOpen
}

// halfClose tells the client that nothing more will come. What it still sends is read and dropped, for as long as linger says.
// It is called under mu.
func (c *clientConn) halfClose(linger time.Duration) {
	if c.state.phase == phaseHalfClosed {
		return
	}
	c.state.phase = phaseHalfClosed
	c.listener.halfClosed.Add(1)
	closeWrite(c.tcp)
	deadline := expired
	if linger > 0 && c.listener.ctx.Err() == nil {
		deadline = time.Now().Add(linger)
	}
	_ = c.tcp.SetReadDeadline(deadline)
}

// close ends the connection: the one place where that is done. The sending side is shut first, and what the client sent till it
// saw that is read.
func (c *clientConn) close() {
	c.mu.Lock()
	c.halfClose(lingerTimeout)
	c.mu.Unlock()
	<-c.readEnded
	c.tcp.Close()
	c.listener.buffers.Put(c.input)
	c.listener.remove(c)
}
