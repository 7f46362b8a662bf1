package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"otterseam/internal/bytebudget"
	"otterseam/tier/codes"
)

// maxQueuedBytes is the limit of the queue of a connection whose peer does not read. The connection ends when the queue would exceed it.
const maxQueuedBytes = 96 << 20

// writtenPollInterval is the interval between two checks of AwaitWritten.
const writtenPollInterval = 2 * time.Millisecond

// Conn is a connection. Both ends may send calls, answers and one-way messages. Each end numbers its calls on a connection from 1 and
// never reuses a number, so that an answer belongs to exactly one call on one connection. An answer that arrives after its call has
// ended, or on another connection, is dropped.
type Conn struct {
	socket   net.Conn
	handler  Handler
	closed   chan struct{}
	openedAt time.Time
	frames   *bytebudget.Budget // limits the frames that are received; nil for no limit
	loops    sync.WaitGroup     // readLoop and writeLoop

	lastReadAt atomic.Int64 // time of the last received frame, in nanoseconds since openedAt

	mu      sync.Mutex             // guards the fields up to ended
	pending map[uint64]chan answer // channels of the calls that wait for answers, by ID
	lastID  uint64
	queue   []byte // encoded frames for writeLoop
	writing int    // size of the frames that writeLoop is writing
	ended   bool

	wake chan struct{} // signals writeLoop that the queue is not empty; has capacity 1
}

// newConn wraps a socket and starts writeLoop. The caller starts readLoop.
func newConn(socket net.Conn, handler Handler) *Conn {
	setSocketOptions(socket)
	c := &Conn{
		socket:   socket,
		handler:  handler,
		closed:   make(chan struct{}),
		openedAt: time.Now(),
		pending:  map[uint64]chan answer{},
		wake:     make(chan struct{}, 1),
	}
	c.loops.Go(c.writeLoop)
	return c
}

// openConn wraps a socket, and starts writeLoop and readLoop. The frames that are received stay within a budget, which may be nil.
func openConn(socket net.Conn, handler Handler, frames *bytebudget.Budget) *Conn {
	c := newConn(socket, handler)
	c.frames = frames
	c.loops.Go(c.readLoop)
	return c
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// isOpen reports whether the connection has not ended yet.
func (c *Conn) isOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// Wait waits until the connection has ended and its goroutines have returned. The handler must not call it.
func (c *Conn) Wait() {
	<-c.closed
	c.loops.Wait()
}

// Close ends the connection. Pending calls fail with codes.LinkBroken.
func (c *Conn) Close() {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	_ = c.socket.Close()
	close(c.closed)
	for _, channel := range pending {
		channel <- answer{code: codes.LinkBroken, release: func() {}}
	}
}

// AwaitWritten waits until what was queued has been written, but for some bytes, or the connection has ended.
func (c *Conn) AwaitWritten(bytes int) {
	for c.isOpen() && c.queuedBytes() > bytes {
		select {
		case <-c.closed:
		case <-time.After(writtenPollInterval):
		}
	}
}

// queuedBytes returns how many bytes have not been written yet.
func (c *Conn) queuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.writing
}

// Send queues a one-way message. It never blocks. If the queue is full because the peer does not read, the connection ends.
func (c *Conn) Send(kind Kind, payload []byte) {
	c.send(header{Kind: kind}, payload)
}

// send queues a frame. It ends the connection if the queue would exceed maxQueuedBytes.
func (c *Conn) send(h header, payload []byte) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if len(c.queue)+len(payload) > maxQueuedBytes {
		c.mu.Unlock()
		c.Close()
		return
	}
	c.queue = appendFrame(c.queue, h, payload)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
