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
	counterReadInterval = time.Second // how often a reader without input checks whether its connection is stalled
	stalledAfter        = 0.5         // seconds without a reply to the oldest call after which the connection is closed
)

// counterConn keeps up one connection to the counter at a time, to a single address. Calls are pipelined: enqueue, on the event
// loop, appends them to the output buffer, one goroutine writes, and one (run) dials and reads the replies. Each reply belongs to
// the oldest unanswered call.
type counterConn struct {
	client  *CounterClient
	addr    string
	ctx     context.Context // ends with the client's context or when stop is called
	stop    context.CancelFunc
	backoff *overload.Backoff // before redialing
	wake    chan struct{}     // signals that pending has bytes; has room for one signal

	mu           sync.Mutex
	connected    bool
	retired      bool     // do not redial
	tcp          net.Conn // valid while connected
	lagging      bool     // calls made well after its oldest one were answered on other connections
	pending      []byte   // encoded calls to be written
	bytesAdded   int64    // bytes of calls enqueued on this connection
	bytesHanded  int64    // of these, passed to Write
	bytesWritten int64    // of these, written successfully
	unanswered   []*counterCall
}

func newCounterConn(client *CounterClient, addr string) *counterConn {
	c := &counterConn{client: client, addr: addr, wake: make(chan struct{}, 1), backoff: client.backoffs.New(counterFirstBackoff)}
	c.ctx, c.stop = context.WithCancel(client.ctx)
	return c
}

// enqueue appends a call to the output buffer. It returns false if the connection is not established or has too many unanswered
// calls.
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

// retire stops redialing. An established connection continues until stopRetired ends it.
func (c *counterConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if !c.connected {
		c.stop()
	}
}

// stopRetired ends a retired connection, unless it still has calls or no replacement is established.
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

// closeIfLagging closes a connection whose oldest call has been unanswered for several timeouts, if newestAnswered is more than one
// timeout after that call was made. newestAnswered is when the most recent answered call was made.
func (c *counterConn) closeIfLagging(now, newestAnswered, callTimeout float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || len(c.unanswered) == 0 {
		return
	}
	oldest := c.unanswered[0].madeAt
	if now-oldest > laggingTimeouts*callTimeout && newestAnswered > oldest+callTimeout {
		c.lagging = true
		_ = c.tcp.SetReadDeadline(pastDeadline)
	}
}

// run dials and serves one connection after another, with a backoff that grows while they fail.
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

// serveConn uses one connection until it ends, and closes it. It reports whether any call was answered.
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
		panic("counter connection ended with unanswered calls")
	}
	c.failUnanswered()
	return answered
}

func (c *counterConn) begin(tcp net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connected, c.tcp, c.lagging = true, tcp, false
	c.pending, c.unanswered = c.pending[:0], c.unanswered[:0]
	c.bytesAdded, c.bytesHanded, c.bytesWritten = 0, 0, 0
}

// failUnanswered ends the calls that are unanswered when a connection ends. If the last byte of a call was written, its amount may
// have been added; otherwise it was not.
func (c *counterConn) failUnanswered() {
	c.mu.Lock()
	lost := append([]*counterCall(nil), c.unanswered...)
	c.connected, c.unanswered = false, c.unanswered[:0]
	written := c.bytesWritten
	c.mu.Unlock()
	for _, call := range lost {
		switch {
		case call.replyInvalid:
			call.outcome = policy.Failed
		case call.endOffset <= written:
			call.outcome = policy.Reset
		default:
			call.outcome = policy.NoConnection
		}
		c.client.loop.post(c.client.ctx, call.onEnd)
	}
}

// writeLoop writes the enqueued calls until done is closed or the connection breaks.
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

// counterRead is the result of one read.
type counterRead struct {
	n           int
	unsolicited bool // the bytes belong to no call
	err         error
}

// readLoop reads replies until the connection ends or a reply is invalid.
func (c *counterConn) readLoop(tcp net.Conn) (answered bool) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		return false
	}
	var message http1.Message
	message.Reset(make([]byte, http1.SmallBufferBytes), true)
	for {
		setReadTimeout(tcp, counterReadInterval)
		if len(message.Space()) == 0 { // too long to be a valid reply
			c.markReplyInvalid(message.Status, http1.ErrBodyTooLong)
			return true
		}
		read := c.read(raw, message.Space())
		// The bytes that follow would be taken for the reply to the next call, and every later reply would be assigned to the call
		// after its own.
		if read.unsolicited {
			c.client.loop.protocolErrorLog.Warn().Str("counter", c.addr).Msg("unsolicited bytes from counter")
			return answered
		}
		some, usable := c.takeReplies(&message, read.n)
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

// read reads once. Under the same lock it checks whether a call was written to which the bytes can be the reply.
func (c *counterConn) read(raw syscall.RawConn, space []byte) (read counterRead) {
	err := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		var wouldBlock bool
		read.n, wouldBlock, read.err = readOnce(fd, space)
		read.unsolicited = read.n > 0 && (len(c.unanswered) == 0 || c.unanswered[0].endOffset > c.bytesHanded)
		return !wouldBlock
	})
	if read.err == nil {
		read.err = err
	}
	return read
}

// takeReplies assigns the complete replies to their calls. It reports whether there were any, and whether the connection can still
// be used.
func (c *counterConn) takeReplies(message *http1.Message, count int) (answered, usable bool) {
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
		if malformed != nil || !call.parseReply(message) {
			c.markReplyInvalid(message.Status, malformed)
			return true, false
		}
		c.mu.Lock()
		c.unanswered = c.unanswered[1:]
		c.mu.Unlock()
		answered = true
		c.client.loop.post(c.ctx, call.onEnd)
		last := message.Close
		count = message.Next()
		if last {
			return answered, false
		}
	}
}

// markReplyInvalid records that the oldest call received an invalid reply, which means that its amount was added.
func (c *counterConn) markReplyInvalid(status int, reason error) {
	if call := c.oldest(); call != nil {
		call.replyInvalid = true
	}
	c.client.loop.protocolErrorLog.Warn().Str("counter", c.addr).Int("status", status).AnErr("why", reason).Msg("invalid counter reply; counting the call as added")
}

func (c *counterConn) oldest() *counterCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) == 0 {
		return nil
	}
	return c.unanswered[0]
}

// isStalled reports whether the oldest call has waited so long that no reply may arrive on this connection any more. A new
// connection would show when the counter is back.
func (c *counterConn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lagging || len(c.unanswered) > 0 && c.client.loop.clock()-c.unanswered[0].madeAt > stalledAfter
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
