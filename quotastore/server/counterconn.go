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

// The status lines of answers.
const (
	statusOK          = "200 OK"
	statusBadRequest  = "400 Bad Request"
	statusFailed      = "500 Internal Server Error"
	statusUnavailable = "503 Service Unavailable" // nothing was added, and nothing will be
)

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// counterConn is one connection of a caller. Calls may be pipelined; they are answered in their order. A call of which
// nothing is known ends the connection, as the protocol has it: it must never be answered as rejected.
type counterConn struct {
	listener *counterListener
	conn     net.Conn
	wake     chan struct{} // there is something to write
	slots    chan struct{} // one is taken for each call without an answer
	written  chan struct{} // closed when the writer has ended

	// Of the event loop alone.
	answers []*counterAnswer // of all calls without an answer written, in their order
	isDirty bool             // it is among the listener's dirty ones

	mu       sync.Mutex
	outgoing []byte // answers for the writer
	closing  bool   // nothing comes after outgoing
}

// counterAnswer is the place of an answer in the order of the calls. It is complete once it has a text, or closes the
// connection.
type counterAnswer struct {
	text   []byte
	closes bool
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

// serve reads calls until the connection ends, and closes it.
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

// read reads calls until the connection ends. Like everywhere here, an error of setting a deadline is that of a closed
// connection, which the read or write that follows returns.
func (c *counterConn) read() {
	var message http1.Message
	message.Reset(make([]byte, callReadBuffer), false)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(callReadTimeout))
		if len(message.Space()) == 0 { // no call is that long
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

// rejectMalformed answers what is no call, behind the answers to the calls before it, and returns when all of them are written or
// can't be. What the caller still sends is discarded: closing a connection with unread bytes resets it, and the caller may lose
// the answers.
func (c *counterConn) rejectMalformed() {
	if !c.listener.server.enqueue(func() { c.answer(c.reserve(), statusBadRequest, "", true) }) {
		return
	}
	_, _ = io.Copy(io.Discard, c.conn) // until the writer lets the read deadline pass, or the caller has closed its side
	select {
	case <-c.written:
	case <-c.listener.ctx.Done():
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// submit brings calls to the event loop, once there are slots for them; false: the server is shutting down.
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

// reserve takes the next place in the order of the answers. Like all that follows up to flush, it runs in the event loop.
func (c *counterConn) reserve() *counterAnswer {
	a := &counterAnswer{}
	c.answers = append(c.answers, a)
	return a
}

// handle submits a call to its group.
func (c *counterConn) handle(call *counterCall) {
	a, node := c.reserve(), c.listener.server.node
	if call.health {
		c.answerHealth(a)
		return
	}
	if !call.valid {
		c.answer(a, statusBadRequest, "", false)
		return
	}
	command := statemachine.Command{Kind: statemachine.Add, Key: call.name, Amount: call.amount, TTL: call.ttl}
	node.Submit(node.GroupOf(call.name), command, func(outcome replication.Outcome, reply statemachine.Reply) {
		switch {
		case outcome == replication.Answered && reply.Code == statemachine.Done:
			c.answer(a, statusOK, strconv.FormatFloat(reply.Total, 'f', -1, 64), false)
		case outcome == replication.Answered && reply.Code == statemachine.Invalid:
			c.answer(a, statusBadRequest, "", false)
		case outcome == replication.Rejected:
			c.answer(a, statusUnavailable, "", false)
		default:
			a.closes = true
			c.markDirty()
		}
	})
}

// answer completes an answer; last: the connection ends with it.
func (c *counterConn) answer(a *counterAnswer, status, body string, last bool) {
	closeField := ""
	if last {
		closeField = "Connection: close\r\n"
	}
	a.text = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, closeField, len(body), body)
	a.closes = last
	c.markDirty()
}

func (c *counterConn) markDirty() {
	if !c.isDirty {
		c.isDirty = true
		c.listener.dirty = append(c.listener.dirty, c)
	}
}

// flush hands the answers whose turn it is to the writer.
func (c *counterConn) flush() {
	n := c.takeCompleted()
	if n == 0 {
		return
	}
	c.answers = c.answers[n:]
	for range n {
		select {
		case <-c.slots:
		default: // the last answer to a connection that could not be parsed has no slot
		}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeCompleted moves completed answers to outgoing, up to the first that is not, and returns how many they were. What comes
// after an answer that closes the connection is dropped.
func (c *counterConn) takeCompleted() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n < len(c.answers) && (c.answers[n].text != nil || c.answers[n].closes) {
		if !c.closing {
			c.outgoing = append(c.outgoing, c.answers[n].text...)
			c.closing = c.answers[n].closes
		}
		n++
	}
	return n
}

// write writes what is outgoing until the connection has ended, a write fails or nothing comes any more.
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
			_ = c.conn.SetReadDeadline(longPast) // the reader ends, and closes the connection
			if tcp, ok := c.conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
