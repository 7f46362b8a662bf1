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
	lingerTimeout  = 200 * time.Millisecond // how long input is still read after the write side was closed
	maxLingerBytes = 1 << 20                // how much input is read and discarded at most
)

var (
	errNoBuffer   = errors.New("no large buffer available")
	errDrainLimit = errors.New("drained")
)

// clientConn is a client connection. One goroutine (readLoop) reads until the client stops sending. The other (serve) takes
// requests from the input, waits for their responses and writes them, one at a time.
//
// The write side of an idle connection is closed only while there is no input, and no input is accepted afterwards. Both are
// decided under mu.
type clientConn struct {
	listener     *ClientListener
	tcp          net.Conn
	raw          syscall.RawConn
	responses    chan response // has room for the only response that can be pending
	requestReady chan struct{} // holds a token when a request may be available
	readEnded    chan struct{} // closed when readLoop has returned

	current        *invocation // the request taken last; set by serve before submitCurrent is posted
	submitCurrent  func()      // passes it to the event loop; created once per connection, like abandonCurrent
	abandonCurrent func()      // reports that its client is gone

	mu            sync.Mutex
	state         clientState
	input         *Buffer   // received and not yet taken; nil in inputEmpty
	malformed     error     // why the input is invalid, in inputMalformed
	lastReadAt    time.Time // when bytes were last received
	requestReadAt time.Time // when the last byte of the request in input was received
	drainedBytes  int       // bytes that were read and discarded
}

// response is the response to a request. status 0 means that the client is gone and nothing is written.
type response struct {
	request    *Buffer
	upstream   *Buffer // the host's response; nil: the gateway generates the response
	status     int
	retryAfter float64 // seconds
	last       bool    // the connection closes after it
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

// readLoop reads until the client stops sending, the connection breaks, or the drain limit is reached. It continues while a
// response is pending, so that the departure of a client that has pipelined a further request is detected and neither request is
// sent on.
func (c *clientConn) readLoop() {
	defer close(c.readEnded)
	for {
		var readErr error
		err := c.raw.Read(func(fd uintptr) (done bool) {
			done, readErr = c.readAvailable(fd)
			return done
		})
		if err != nil || readErr != nil {
			return
		}
	}
}

// readAvailable reads the available bytes and updates the connection's state under the same lock.
func (c *clientConn) readAvailable(fd uintptr) (done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.acceptsInput() {
		c.ensureBuffer()
	}
	if !c.state.acceptsInput() {
		return c.drain(fd)
	}
	wasEmpty := c.input.Empty()
	n, wouldBlock, err := readOnce(fd, c.input.Space())
	switch {
	case n > 0:
		c.lastReadAt = time.Now()
		c.state.bytesReceived(c.lastReadAt, wasEmpty)
		c.advanceInput(n)
	case wasEmpty:
		c.listener.buffers.Put(c.input)
		c.input = nil
	}
	return !wouldBlock, err
}

// ensureBuffer makes space for the next bytes. Without space the input overflows. Input may use only half of the large buffers, so
// that many large request bodies can't exhaust the buffers for responses.
func (c *clientConn) ensureBuffer() {
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

// advanceInput parses count bytes that were read into the free space of the input buffer.
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

// wakeServer signals serve to look for a request.
func (c *clientConn) wakeServer() {
	select {
	case c.requestReady <- struct{}{}:
	default:
	}
}

// drain reads and discards input that is no longer accepted: input after the write side was closed, or input beyond the available
// buffers. Closing a connection with unread bytes would reset it, and the client could lose the previous response. If the bytes
// were left unread, the departure of the client would not be detected.
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

// serve handles one request after another until no more come or a response closes the connection.
func (c *clientConn) serve() {
	for c.serveRequest() {
	}
	c.close()
}

// serveRequest waits for a request and responds to it. It returns false if the response closes the connection or no request came.
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

// respond returns the response to a request, either at once or from the event loop. It returns false if the gateway's context has
// ended.
func (c *clientConn) respond(request *Buffer, readAt time.Time, malformed error) (resp response, ok bool) {
	status, details := c.classify(request, malformed)
	if status != 0 {
		return response{request: request, status: status, last: status != 200}, true
	}
	c.current = &invocation{Invocation: details, client: c, request: request, readAt: readAt}
	c.listener.loop.post(c.listener.ctx, c.submitCurrent)
	return c.awaitResponse()
}

// nextRequest waits for the next request, valid or not, and takes it. It returns nil when no more requests come. A pipelined
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

// takeRequest takes the buffered request, and moves the bytes after it into a new buffer. It returns nil if there is no request.
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

// awaitResponse waits for the pending response, and informs the event loop if the client leaves before it. It returns false if the
// gateway's context has ended.
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

// writeResponse encodes a response into the buffer of its request, sends it, and returns both buffers to the pool. It reports
// whether the response closes the connection.
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
	c.state.responseWritten(time.Now())
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

// decideLast reports whether the connection closes after the response that is about to be written. It does if the caller asks for
// it, if the gateway is shutting down and either no further input was received or closeAfterResponse is set, or if input after the
// request was discarded. In these cases no further request is accepted.
func (c *clientConn) decideLast(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	shuttingDown := c.listener.shuttingDown.Load() && (c.state.input == inputEmpty || c.listener.closeAfterResponse.Load())
	dropped := c.state.overflowed && c.state.input != inputComplete
	if last || shuttingDown || dropped {
		c.state.finish()
	}
	return c.state.phase != phaseOpen
}

// halfClose closes the write side of the connection. Further input is read and discarded for the time linger. It is called under
// mu.
func (c *clientConn) halfClose(linger time.Duration) {
	if c.state.phase == phaseHalfClosed {
		return
	}
	c.state.phase = phaseHalfClosed
	c.listener.halfClosed.Add(1)
	closeWrite(c.tcp)
	deadline := pastDeadline
	if linger > 0 && c.listener.ctx.Err() == nil {
		deadline = time.Now().Add(linger)
	}
	_ = c.tcp.SetReadDeadline(deadline)
}

// close closes the connection, and is the only place that does. It closes the write side first, and reads what the client sends
// until it has seen that.
func (c *clientConn) close() {
	c.mu.Lock()
	c.halfClose(lingerTimeout)
	c.mu.Unlock()
	<-c.readEnded
	c.tcp.Close()
	c.listener.buffers.Put(c.input)
	c.listener.remove(c)
}
