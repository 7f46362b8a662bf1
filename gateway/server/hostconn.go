package server

import (
	"container/heap"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

var errUnsolicitedBytes = errors.New("unsolicited bytes from host")

// hostConn is a connection to a host. One goroutine (writeLoop) writes requests, the other (readLoop) reads responses and closes
// the connection. Both do their I/O and update the state in one step under mu.
type hostConn struct {
	pool     *HostPool
	host     *host
	addr     string
	tcp      net.Conn
	raw      syscall.RawConn
	requests chan *Buffer // requests to write; nil ends writeLoop. It has room for one request and the nil.
	onEnded  func()       // deliveryEnded, created once per connection

	// Used only by the event loop:
	delivery  *delivery // the delivery in progress; nil: none, or it was cancelled
	abandoned bool
	idleSince float64 // clock time

	mu               sync.Mutex
	writeBegun       bool // bytes of the current request may have been written
	awaitingResponse bool // a request was written completely and has no response yet
	unusable         bool // no further request may be written

	// Used only by readLoop:
	response    *Buffer // the response being read; nil: no bytes were received
	responseErr error   // why the response is invalid

	// The outcome of a delivery. readLoop sets these fields before it posts onEnded, which reads them on the event loop. They are
	// not overwritten before that, because the next outcome requires another request, which the loop dispatches only after it has
	// read them.
	outcome       policy.Outcome
	endedResponse *Buffer
	reuse         bool // the connection can carry another delivery
}

// deliveryEnded runs on the event loop when a delivery has received its response or its connection broke.
func (c *hostConn) deliveryEnded() {
	pool, d, response := c.pool, c.delivery, c.endedResponse
	c.delivery, c.endedResponse = nil, nil
	if d == nil || c.outcome != policy.Succeeded { // a nil d was cancelled meanwhile, so its response is discarded
		pool.buffers.Put(response)
		response = nil
	}
	if mutation.ResetCountsAsNeverRan && c.outcome == policy.Reset {
		c.outcome = policy.NoConnection
	}
	if d != nil {
		heap.Remove(&pool.loop.timeouts, d.index)
		pool.loop.deliveryEnded(d, c.outcome, response)
	}
	// This must come last: the connection may get the outcome of its next delivery at once, which must not be taken for that of the
	// delivery handled here.
	if c.reuse && !c.abandoned {
		pool.nextDelivery(c)
	}
}

// onClosed runs on the event loop after the connection was closed.
func (c *hostConn) onClosed() {
	c.pool.open--
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *hostConn) bool { return other == c })
	c.mu.Lock()
	begun := c.writeBegun
	c.mu.Unlock()
	d := c.delivery
	switch {
	case d == nil:
	case !begun && c.host.active: // nothing was written: neither a failure of the host nor another attempt
		c.delivery, d.conn = nil, nil
		c.pool.assign(d)
	default: // the connection broke just after the dispatch: the request's last byte was not written
		c.outcome, c.reuse = policy.NoConnection, false
		c.deliveryEnded()
	}
	c.pool.dialForWaiting(c.host)
}

// abandon runs on the event loop. It closes the write side and interrupts the connection, which readLoop then closes.
func (c *hostConn) abandon() {
	c.abandoned = true
	if tcp, ok := c.tcp.(*net.TCPConn); ok { // test connections keep their write side open until readLoop closes them
		_ = tcp.CloseWrite()
	}
	interrupt(c.tcp)
}

// writeLoop writes requests until it receives nil or the connection becomes unusable.
func (c *hostConn) writeLoop() {
	for request := <-c.requests; request != nil; request = <-c.requests {
		usable := c.writeRequest(request)
		c.pool.buffers.Put(request)
		if !usable {
			interrupt(c.tcp)
			return // onClosed then finds that nothing was written
		}
	}
}

// writeRequest writes a request unless the connection is unusable. If unread bytes follow the previous response (a duplicate or
// garbage), nothing is written, because they would be taken for the response to this request. Bytes that were already read have
// made the connection unusable.
func (c *hostConn) writeRequest(request *Buffer) (usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || !receiveBufferEmpty(c.tcp) {
		c.unusable = true
		return false
	}
	c.writeBegun = true
	_, err := c.tcp.Write(request.Bytes)
	c.awaitingResponse = err == nil
	c.unusable = err != nil
	return err == nil
}

// readLoop reads responses until the connection ends, and then closes it. It is the only place that closes it.
func (c *hostConn) readLoop() {
	stop := context.AfterFunc(c.pool.ctx, func() { interrupt(c.tcp) })
	defer stop()
	for reuse := true; reuse; {
		var outcome policy.Outcome
		err := c.raw.Read(func(fd uintptr) (done bool) {
			outcome, reuse, done = c.readAvailable(fd)
			return done
		})
		if err != nil {
			outcome, reuse = c.connBroken(), false
		}
		if c.responseErr != nil {
			c.pool.loop.protocolErrorLog.Warn().Str("host", c.host.id).Err(c.responseErr).Msg("host response discarded")
		}
		if outcome != 0 {
			c.outcome, c.endedResponse, c.reuse = outcome, c.response, reuse
			c.response = nil
			c.pool.loop.post(c.pool.ctx, c.onEnded)
		}
	}
	c.pool.buffers.Put(c.response)
	c.requests <- nil
	c.tcp.Close()
	c.pool.loop.post(c.pool.ctx, c.onClosed)
}

// connBroken marks the connection as broken for both goroutines. A request that was written completely counts as reset.
func (c *hostConn) connBroken() (outcome policy.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endExchange(policy.Reset, false)
}

// readAvailable reads the available bytes and updates the state under the same lock. It returns the outcome of the delivery (0: it
// has not ended), and whether the connection can be reused.
func (c *hostConn) readAvailable(fd uintptr) (outcome policy.Outcome, reuse, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.response == nil {
		c.response = c.pool.buffers.Get(true)
	}
	if len(c.response.Space()) == 0 && !c.pool.buffers.Grow(c.response, c.pool.buffers.maxLarge) {
		c.responseErr = errNoBuffer
		return c.endExchange(policy.Failed, false), false, true
	}
	n, wouldBlock, err := readOnce(fd, c.response.Space())
	switch {
	case wouldBlock:
		if c.response.Empty() {
			c.pool.buffers.Put(c.response)
			c.response = nil
		}
		return 0, true, false
	case errors.Is(err, io.EOF) && c.response.EndOfInput(): // other read errors mean that the response may be truncated
		return c.endExchange(responseOutcome(c.response), false), false, true
	case err != nil:
		return c.endExchange(policy.Reset, false), false, true
	case !c.awaitingResponse:
		c.responseErr = errUnsolicitedBytes
		return c.endExchange(0, false), false, true
	}
	outcome, reuse = c.advanceResponse(n)
	return outcome, reuse, true
}

// advanceResponse parses count bytes that were read into the free space of the response buffer.
func (c *hostConn) advanceResponse(count int) (outcome policy.Outcome, reuse bool) {
	complete, malformed := c.response.Advance(count)
	for complete && c.response.Status < 200 { // an interim response
		count = c.response.Next()
		if count == 0 {
			return 0, true
		}
		complete, malformed = c.response.Advance(count)
	}
	c.responseErr = malformed
	if malformed != nil {
		return c.endExchange(policy.Failed, false), false
	}
	if !complete {
		return 0, true
	}
	reuse = !c.response.Close && len(c.response.Rest()) == 0
	return c.endExchange(responseOutcome(c.response), reuse), reuse
}

// endExchange returns the outcome of the delivery on the connection. It returns 0 if no request is outstanding, so that the bytes
// or the EOF belong to none. It is called under mu.
func (c *hostConn) endExchange(outcome policy.Outcome, reuse bool) policy.Outcome {
	if !reuse || !c.awaitingResponse {
		c.unusable = true
	}
	if !c.awaitingResponse {
		return 0
	}
	c.awaitingResponse = false
	return outcome
}

// responseOutcome returns the outcome that a complete response stands for.
func responseOutcome(response *Buffer) policy.Outcome {
	switch {
	case response.Status == 200:
		return policy.Succeeded
	case http1.Declined(&response.Message):
		return policy.Rejected
	}
	return policy.Failed
}
