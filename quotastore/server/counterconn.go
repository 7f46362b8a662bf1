package server

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// The statuses of responses.
const (
	statusOK          = "200 OK"
	statusBadRequest  = "400 Bad Request"
	statusFailed      = "500 Internal Server Error"
	statusUnavailable = "503 Service Unavailable" // the call was not applied, and will not be
)

// expiredDeadline is a deadline in the past. It ends a pending read.
var expiredDeadline = time.Unix(1, 0)

// counterConn is the connection of one caller. Calls may be pipelined and are answered in order. A call whose outcome is unknown
// ends the connection without a response, as the protocol specifies. It must never be answered as rejected.
type counterConn struct {
	listener *counterListener
	conn     net.Conn
	wake     chan struct{} // signals the writer that outgoing or closing has changed
	slots    chan struct{} // one slot is held by each call until it is answered
	written  chan struct{} // closed when the writer has ended

	// Accessed only by the event loop.
	responses []*counterResponse // to all calls not yet answered, in the order of the calls
	isDirty   bool               // the connection is in the listener's dirty list

	mu       sync.Mutex
	outgoing []byte // encoded responses for the writer
	closing  bool   // outgoing has the last response
}

// counterResponse is the response to one call, in the order of the calls. It is complete once encoded or closes is set.
type counterResponse struct {
	encoded []byte
	closes  bool
}

func newCounterConn(l *counterListener, conn net.Conn) *counterConn {
	return &counterConn{
		listener: l,
		conn:     conn,
		wake:     make(chan struct{}, 1),
		slots:    make(chan struct{}, maxCallsPerConn),
		written:  make(chan struct{}),
	}
}

// serve reads calls until the connection ends, and closes the connection.
func (c *counterConn) serve(group *errgroup.Group) {
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(c.written)
		c.write(ended)
		return nil
	})
	c.read()
	close(ended)
	c.listener.conns.close(c.conn)
}

// read reads calls until the connection ends. Here and elsewhere in the package, errors of setting a deadline are ignored: they
// mean that the connection is closed, and the read or write that follows returns that error too.
func (c *counterConn) read() {
	var message http1.Message
	message.Reset(make([]byte, callReadBuffer), false)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(callReadTimeout))
		if len(message.Space()) == 0 { // longer than any valid call
			c.rejectMalformed()
			return
		}
		n, readErr := c.conn.Read(message.Space())
		calls, parseErr := parseCalls(&message, n)
		if len(calls) > 0 && !c.submit(calls) {
			return
		}
		if parseErr != nil {
			c.rejectMalformed()
			return
		}
		if readErr != nil {
			return
		}
	}
}

// rejectMalformed answers a malformed call with 400 after the responses to the calls before it. It returns when all responses have
// been written or can't be. Further input is discarded, because closing a connection with unread bytes resets it, and the caller
// may then lose the responses.
func (c *counterConn) rejectMalformed() {
	if !c.listener.server.enqueue(func() { c.respond(c.reserve(), statusBadRequest, "", true) }) {
		return
	}
	_, _ = io.Copy(io.Discard, c.conn) // until the writer expires the read deadline, or the caller closes its side
	select {
	case <-c.written:
	case <-c.listener.ctx.Done():
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// submit passes calls to the event loop after it has acquired a slot for each. It returns false if the server is shutting down.
func (c *counterConn) submit(calls []counterCall) bool {
	for range calls {
		select {
		case c.slots <- struct{}{}:
		case <-c.listener.ctx.Done():
			return false
		}
	}
	return c.listener.server.enqueue(func() {
		for i := range calls {
			c.handle(&calls[i])
		}
	})
}

// reserve appends an empty response for the next call. This method and the following ones up to takeCompleted run in the event
// loop.
func (c *counterConn) reserve() *counterResponse {
	r := &counterResponse{}
	c.responses = append(c.responses, r)
	return r
}

// handle submits a call to its group, or answers it if it is invalid or a health request.
func (c *counterConn) handle(call *counterCall) {
	r, node := c.reserve(), c.listener.server.node
	if call.health {
		c.respondHealth(r)
		return
	}
	if !call.valid {
		c.respond(r, statusBadRequest, "", false)
		return
	}
	command := statemachine.Command{Kind: statemachine.Add, Key: call.name, Amount: call.amount, TTL: call.ttl}
	node.Submit(node.GroupOf(call.name), command, func(outcome replication.Outcome, reply statemachine.Reply) {
		switch {
		case outcome == replication.Answered && reply.Code == statemachine.Done:
			c.respond(r, statusOK, strconv.FormatFloat(reply.Total, 'f', -1, 64), false)
		case outcome == replication.Answered && reply.Code == statemachine.Invalid:
			c.respond(r, statusBadRequest, "", false)
		case outcome == replication.Rejected:
			c.respond(r, statusUnavailable, "", false)
		default:
			r.closes = true
			c.markDirty()
		}
	})
}

// respond completes a response. If last is set, the connection is closed after it.
func (c *counterConn) respond(r *counterResponse, status, body string, last bool) {
	closeField := ""
	if last {
		closeField = "Connection: close\r\n"
	}
	r.encoded = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, closeField, len(body), body)
	r.closes = last
	c.markDirty()
}

func (c *counterConn) markDirty() {
	if !c.isDirty {
		c.isDirty = true
		c.listener.dirty = append(c.listener.dirty, c)
	}
}

// flush passes the responses that are next in order to the writer.
func (c *counterConn) flush() {
	n := c.takeCompleted()
	if n == 0 {
		return
	}
	c.responses = c.responses[n:]
	for range n {
		select {
		case <-c.slots:
		default: // the response to a malformed call has no slot
		}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeCompleted moves the responses before the first incomplete one to outgoing, and returns how many it moved. Responses after
// one that closes the connection are dropped.
func (c *counterConn) takeCompleted() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n < len(c.responses) && (c.responses[n].encoded != nil || c.responses[n].closes) {
		if !c.closing {
			c.outgoing = append(c.outgoing, c.responses[n].encoded...)
			c.closing = c.responses[n].closes
		}
		n++
	}
	return n
}

// write writes outgoing responses until the connection has ended, a write fails or the last response has been written.
func (c *counterConn) write(ended <-chan struct{}) {
	var writing []byte
	for {
		select {
		case <-ended:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		writing, c.outgoing = c.outgoing, writing[:0]
		closing := c.closing
		c.mu.Unlock()
		_ = c.conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, err := c.conn.Write(writing)
		if err != nil || closing {
			_ = c.conn.SetReadDeadline(expiredDeadline) // makes the reader end, which closes the connection
			if tcp, ok := c.conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
