package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"otterseam/gateway/http1"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

const (
	counterDialTimeout  = 500 * time.Millisecond
	counterReadInterval = time.Second // how often a reader without bytes looks whether its connection is stalled
	stalledAfter        = 0.5         // seconds an unanswered call waits at most before its connection is given up
)

// counterConn is one connection to the counter after another, to one address. Calls are pipelined: enqueue, on the event loop, adds
// them to what is to be written; one goroutine writes; one (run) dials and reads the answers, each for the oldest call.
type counterConn struct {
	client  *CounterClient
	addr    string
	ctx     context.Context // ends with the client's, or by stop
	stop    context.CancelFunc
	backoff *overload.Backoff // before it dials again
	wake    chan struct{}     // something is to be written; always room for one

	mu           sync.Mutex
	connected    bool
	retired      bool     // not to be dialed again
	tcp          net.Conn // while it is connected
	overtaken    bool     // calls made well after its oldest one were answered elsewhere
	pending      []byte   // calls to be written
	bytesAdded   int64    // bytes of calls on this connection so far
	bytesHanded  int64    // of them, handed to the system
	bytesWritten int64    // of them, taken by it
	unanswered   []*counterCall
}

func newCounterConn(client *CounterClient, addr string) *counterConn {
	c := &counterConn{client: client, addr: addr, wake: make(chan struct{}, 1), backoff: client.backoffs.New(counterFirstBackoff)}
	c.ctx, c.stop = context.WithCancel(client.ctx)
	return c
}

// enqueue adds a call to what is written; false: it is not connected, or has as many calls as it may.
func (c *counterConn) enqueue(call *counterCall, amount, life float64) bool {
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

// retire has it not be dialed again; one that stands goes on until stopRetired ends it.
func (c *counterConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if !c.connected {
		c.stop()
	}
}

// stopRetired ends a retired connection unless it is still of use: it has calls, or nothing replaces it yet.
func (c *counterConn) stopRetired(replaced bool) (stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected && (!replaced || len(c.unanswered) > 0) {
		return false
	}
	c.connected = false
	c.stop()
	return true
}

// closeIfOvertaken ends a connection whose oldest call has been unanswered for several time-outs, if newestAnswered, at which a call
// was made that has its answer, is more than one time-out after it.
func (c *counterConn) closeIfOvertaken(now, newestAnswered, callTimeout float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || len(c.unanswered) == 0 {
		return
	}
	oldest := c.unanswered[0].madeAt
	if now-oldest > overtakenTimeouts*callTimeout && newestAnswered > oldest+callTimeout {
		c.overtaken = true
		_ = c.tcp.SetReadDeadline(expired)
	}
}

// run has one connection after another, with a pause that grows while they fail.
func (c *counterConn) run() error {
	dialer := net.Dialer{Timeout: counterDialTimeout, KeepAlive: -1}
	first := true
	for c.ctx.Err() == nil && !c.isRetired() {
		tcp, err := dialer.DialContext(c.ctx, "tcp", c.addr)
		if first {
			c.client.connsAttempted.Add(1)
			first = false
		}
		if err == nil && c.serveConn(tcp) {
			c.backoff.Reset()
			continue
		}
		select {
		case <-c.ctx.Done():
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

// serveConn uses one connection until it ends, and closes it; it says whether any call was answered.
func (c *counterConn) serveConn(tcp net.Conn) (answered bool) {
	c.begin(tcp)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { c.writeLoop(tcp, done) })
	answered = c.readLoop(tcp)
	close(done)
	interrupt(tcp)
	writer.Wait()
	tcp.Close()
	if mutation.CounterResetPanics && len(c.unanswered) > 0 {
		panic("a counter connection has ended")
	}
	c.failUnanswered()
	return answered
}

func (c *counterConn) begin(tcp net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connected, c.tcp, c.overtaken = true, tcp, false
	c.pending, c.unanswered = c.pending[:0], c.unanswered[:0]
	c.bytesAdded, c.bytesHanded, c.bytesWritten = 0, 0, 0
}

// failUnanswered ends the calls that a connection leaves unanswered: one whose last byte was taken by the system may have been
// added, any other was not.
func (c *counterConn) failUnanswered() {
	c.mu.Lock()
	lost := append([]*counterCall(nil), c.unanswered...)
	c.connected, c.unanswered = false, c.unanswered[:0]
	written := c.bytesWritten
	c.mu.Unlock()
	for _, call := range lost {
		switch {
		case call.unusable:
			call.outcome = policy.Failed
		case call.endOffset <= written:
			call.outcome = policy.Reset
		default:
			call.outcome = policy.NoConnection
		}
		c.client.loop.post(c.client.ctx, call.onAnswer)
	}
}

// writeLoop writes what is enqueued, until done or the connection breaks.
func (c *counterConn) writeLoop(tcp net.Conn, done chan struct{}) {
	var batch []byte
	for {
		select {
		case <-done:
			return
		case <-c.ctx.Done():
			interrupt(tcp)
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
			interrupt(tcp)
			return
		}
	}
}

// counterRead is what one read brought.
type counterRead struct {
	n           int
	unrequested bool // bytes that belong to no call
	err         error
}

// readLoop reads answers until the connection ends or an answer makes no sense.
func (c *counterConn) readLoop(tcp net.Conn) (answered bool) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		return false
	}
	var message http1.Message
	message.Reset(make([]byte, http1.SmallBufferBytes), true)
	for {
		setReadTimeout(tcp, counterReadInterval)
		if len(message.Space()) == 0 { // no total is that long
			c.markUnusable(message.Status, http1.ErrBodyTooLong)
			return true
		}
		read := c.read(raw, message.Space())
		// What follows unrequested bytes would be taken for the answer to the next call, and each later answer for that of the
		// call behind its own.
		if read.unrequested {
			c.client.loop.peerErrors.Warn().Str("counter", c.addr).Msg("bytes that no call was made for")
			return answered
		}
		some, usable := c.takeAnswers(&message, read.n)
		answered = answered || some
		if !usable {
			return answered
		}
		if isTimeout(read.err) && c.ctx.Err() == nil && !c.isStalled() {
			continue
		}
		if read.err != nil {
			return answered
		}
	}
}

// read reads once, and judges under the lock whether a call was written that the bytes can answer.
func (c *counterConn) read(raw syscall.RawConn, space []byte) (read counterRead) {
	err := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		var wouldBlock bool
		read.n, wouldBlock, read.err = readOnce(fd, space)
		read.unrequested = read.n > 0 && (len(c.unanswered) == 0 || c.unanswered[0].endOffset > c.bytesHanded)
		return !wouldBlock
	})
	if read.err == nil {
		read.err = err
	}
	return read
}

// takeAnswers hands the calls the answers that are whole. It says whether there were any, and whether the connection is of use
// still.
func (c *counterConn) takeAnswers(message *http1.Message, count int) (answered, usable bool) {
	for {
		complete, malformed := message.Advance(count)
		if !complete && malformed == nil {
			return answered, true
		}
		if malformed == nil && message.Status < 200 { // an interim response
			count = message.Next()
			continue
		}
		call := c.oldest()
		if call == nil {
			return answered, false
		}
		if malformed != nil || !call.read(message) {
			c.markUnusable(message.Status, malformed)
			return true, false
		}
		c.mu.Lock()
		c.unanswered = c.unanswered[1:]
		c.mu.Unlock()
		answered = true
		c.client.loop.post(c.ctx, call.onAnswer)
		last := message.Close
		count = message.Next()
		if last {
			return answered, false
		}
	}
}

// markUnusable notes that the oldest call has an answer that makes no sense, so that its amount was added.
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

// isStalled says that the oldest call has waited far too long: nothing may come on this connection any more, and a new one would
// be noticed to work once the counter is back.
func (c *counterConn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overtaken || len(c.unanswered) > 0 && c.client.loop.clock()-c.unanswered[0].madeAt > stalledAfter
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
