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

var errUnrequestedBytes = errors.New("bytes that no request was written for")

// hostConn is a connection to a host. One goroutine (writeLoop) writes requests; one (readLoop) reads answers and closes it. Both
// judge what they see under mu, in one step with the reading or writing.
type hostConn struct {
	pool     *HostPool
	host     *host
	addr     string
	tcp      net.Conn
	raw      syscall.RawConn
	requests chan *Buffer // to be written, nil: the end; always room for one and the end
	onEnded  func()       // deliveryEnded, made once

	// The event loop's:
	delivery  *delivery // the one handed over; nil: none, or it was given up
	abandoned bool
	idleSince float64 // clock time

	mu             sync.Mutex
	writeBegun     bool // bytes of the request handed over last may have been written
	awaitingAnswer bool // a request has been written whole and not been answered yet
	unusable       bool // nothing more is to be written

	// readLoop's:
	answer  *Buffer // the one on its way in; nil: nothing has come
	problem error   // what is wrong with it

	// How a delivery ended: set by readLoop before it posts onEnded, read by the event loop then. The next outcome is set only
	// once the next request is written, which the loop hands over after it has read these.
	outcome     policy.Outcome
	endedAnswer *Buffer
	reuse       bool // the connection can take another delivery
}

// deliveryEnded runs on the event loop: a delivery was answered, or its connection broke.
func (c *hostConn) deliveryEnded() {
	pool, d, answer := c.pool, c.delivery, c.endedAnswer
	c.delivery, c.endedAnswer = nil, nil
	if d == nil || c.outcome != policy.Succeeded { // without d it was given up meanwhile, and what still comes changes nothing
		pool.buffers.Put(answer)
		answer = nil
	}
	if mutation.ResetCountsAsNeverRan && c.outcome == policy.Reset {
		c.outcome = policy.NoConnection
	}
	if d != nil {
		heap.Remove(&pool.loop.timeouts, d.index)
		pool.loop.deliveryEnded(d, c.outcome, answer)
	}
	// Last of all: with its next delivery the connection may at once be given that one's outcome, which must not be taken for
	// this one's.
	if c.reuse && !c.abandoned {
		pool.nextDelivery(c)
	}
}

// closed runs on the event loop when the connection is no more.
func (c *hostConn) closed() {
	c.pool.open--
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *hostConn) bool { return other == c })
	c.mu.Lock()
	begun := c.writeBegun
	c.mu.Unlock()
	d := c.delivery
	switch {
	case d == nil:
	case !begun && c.host.active: // the host is not to blame, nor is this another attempt
		c.delivery, d.conn = nil, nil
		c.pool.place(d)
	default: // handed over just as it broke: its last byte was not written
		c.outcome, c.reuse = policy.NoConnection, false
		c.deliveryEnded()
	}
	c.pool.dialForWaiting(c.host)
}

// abandon runs on the event loop: it ends the sending at once; readLoop then closes the connection.
func (c *hostConn) abandon() {
	c.abandoned = true
	if tcp, ok := c.tcp.(*net.TCPConn); ok { // a connection of a test keeps its sending side until readLoop closes it
		_ = tcp.CloseWrite()
	}
	interrupt(c.tcp)
}

// writeLoop writes requests until the end is handed over or the connection is unusable.
func (c *hostConn) writeLoop() {
	for request := <-c.requests; request != nil; request = <-c.requests {
		usable := c.writeRequest(request)
		c.pool.buffers.Put(request)
		if !usable {
			interrupt(c.tcp)
			return // closed tells the loop that the delivery never left
		}
	}
}

// writeRequest writes a request, unless the connection is unusable by now. A second copy or noise behind the answer before, come
// but not yet read, would be taken for this request's answer: nothing is written over it. What has been read already made the
// connection unusable.
func (c *hostConn) writeRequest(request *Buffer) (usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || !nothingUnread(c.tcp) {
		c.unusable = true
		return false
	}
	c.writeBegun = true
	_, err := c.tcp.Write(request.Bytes)
	c.awaitingAnswer = err == nil
	c.unusable = err != nil
	return err == nil
}

// readLoop reads answers until the connection ends, and closes it: the one place where that is done.
func (c *hostConn) readLoop() {
	stop := context.AfterFunc(c.pool.ctx, func() { interrupt(c.tcp) })
	defer stop()
	for reuse := true; reuse; {
		var outcome policy.Outcome
		err := c.raw.Read(func(fd uintptr) (done bool) {
			outcome, reuse, done = c.readable(fd)
			return done
		})
		if err != nil {
			outcome, reuse = c.connBroken(), false
		}
		if c.problem != nil {
			c.pool.loop.peerErrors.Warn().Str("host", c.host.id).Err(c.problem).Msg("answer not used")
		}
		if outcome != 0 {
			c.outcome, c.endedAnswer, c.reuse = outcome, c.answer, reuse
			c.answer = nil
			c.pool.loop.post(c.pool.ctx, c.onEnded)
		}
	}
	c.pool.buffers.Put(c.answer)
	c.requests <- nil
	c.tcp.Close()
	c.pool.loop.post(c.pool.ctx, c.closed)
}

// connBroken ends the connection for both sides. A request that was written whole has been reset.
func (c *hostConn) connBroken() (outcome policy.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endExchange(policy.Reset, false)
}

// readable reads what stands in the system, in one step with what it means: how a delivery ended (0: it has not) and whether the
// connection can be used on.
func (c *hostConn) readable(fd uintptr) (outcome policy.Outcome, reuse, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		c.answer = c.pool.buffers.Get(true)
	}
	if len(c.answer.Space()) == 0 && !c.pool.buffers.Grow(c.answer, c.pool.buffers.maxLarge) {
		c.problem = errNoBuffer
		return c.endExchange(policy.Failed, false), false, true
	}
	n, wouldBlock, err := readOnce(fd, c.answer.Space())
	switch {
	case wouldBlock:
		if c.answer.Empty() {
			c.pool.buffers.Put(c.answer)
			c.answer = nil
		}
		return 0, true, false
	case errors.Is(err, io.EOF) && c.answer.EndOfInput(): // without the first it may be cut short
		return c.endExchange(answerOutcome(c.answer), false), false, true
	case err != nil:
		return c.endExchange(policy.Reset, false), false, true
	case !c.awaitingAnswer:
		c.problem = errUnrequestedBytes
		return c.endExchange(0, false), false, true
	}
	outcome, reuse = c.advanceAnswer(n)
	return outcome, reuse, true
}

// advanceAnswer takes in bytes that have been read into the space of the answer.
func (c *hostConn) advanceAnswer(count int) (outcome policy.Outcome, reuse bool) {
	complete, malformed := c.answer.Advance(count)
	for complete && c.answer.Status < 200 { // an interim response
		count = c.answer.Next()
		if count == 0 {
			return 0, true
		}
		complete, malformed = c.answer.Advance(count)
	}
	c.problem = malformed
	if malformed != nil {
		return c.endExchange(policy.Failed, false), false
	}
	if !complete {
		return 0, true
	}
	reuse = !c.answer.Close && len(c.answer.Rest()) == 0
	return c.endExchange(answerOutcome(c.answer), reuse), reuse
}

// endExchange says how the delivery on the connection ended; 0: none was written, the bytes or the end belong to no request. It is
// called under mu.
func (c *hostConn) endExchange(outcome policy.Outcome, reuse bool) policy.Outcome {
	if !reuse || !c.awaitingAnswer {
		c.unusable = true
	}
	if !c.awaitingAnswer {
		return 0
	}
	c.awaitingAnswer = false
	return outcome
}

// answerOutcome says what a whole answer means.
func answerOutcome(answer *Buffer) policy.Outcome {
	switch {
	case answer.Status == 200:
		return policy.Succeeded
	case http1.Declined(&answer.Message):
		return policy.Rejected
	}
	return policy.Failed
}
