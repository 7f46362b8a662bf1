package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"otterseam/tier/codes"
)

// maxQueuedBytes bounds what waits for a peer that does not read.
const maxQueuedBytes = 96 << 20

// Conn is one connection. Both ends may call, answer and send. Each end numbers its calls on a connection from 1 on and uses no
// number twice, so that an answer belongs to one call, of one connection: one that comes after its call has ended, or on another
// connection than its call, reaches nobody.
type Conn struct {
	socket   net.Conn
	handler  Handler
	closed   chan struct{}
	openedAt time.Time
	loops    sync.WaitGroup // readLoop and writeLoop

	lastReadAt atomic.Int64 // when a frame was read last, in nanoseconds since openedAt

	mu      sync.Mutex             // guards all below
	pending map[uint64]chan answer // calls that wait for their answers, by ID
	lastID  uint64
	queue   []byte // frames that writeLoop is to write
	ended   bool

	wake chan struct{} // tells writeLoop that the queue has grown; holds one
}

// newConn wraps a socket and starts to write. Who has the connection then starts to read.
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

// openConn wraps a socket, and starts to write and to read.
func openConn(socket net.Conn, handler Handler) *Conn {
	c := newConn(socket, handler)
	c.loops.Go(c.readLoop)
	return c
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// isOpen tells whether the connection has not ended yet.
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

// Close ends the connection; calls that wait get codes.LinkBroken.
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
		channel <- answer{code: codes.LinkBroken}
	}
}

// Send queues a one-way message. It never waits; a peer that does not read loses the connection.
func (c *Conn) Send(kind Kind, payload []byte) {
	c.send(header{Kind: kind}, payload)
}

// send queues a frame.
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
