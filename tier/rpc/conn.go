package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"otterseam/tier/codes"
)

const (
	maxQueued      = 96 << 20 // bytes waiting for a peer that does not read
	readBuffer     = 16 << 10
	userTimeoutMS  = 1500 // unacknowledged bytes end a connection after this long
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// deadAfter is how long a connection on which an answer is due may bring nothing at all before it is given up. A machine that
	// lost power says nothing, and what is sent to it meanwhile is sent again ever more rarely, so that the connection would be
	// useless for a while also after the machine is back.
	deadAfter = 400 * time.Millisecond
)

// Message is a call or a one-way message that arrived.
type Message struct {
	Kind    Kind
	Payload []byte
	Conn    *Conn
	id      uint64
}

// IsCall tells whether the sender waits for an answer.
func (m Message) IsCall() bool { return m.id != 0 }

// Answer sends the result of a call. On a one-way message it does nothing.
func (m Message) Answer(code codes.Code, payload []byte) {
	if m.id != 0 {
		m.Conn.send(header{Kind: kindAnswer, Code: uint16(code), ID: m.id}, payload)
	}
}

// Handler takes a message. It is called by the connection's reader, one message after the other; work that waits belongs
// into a goroutine of its own.
type Handler func(Message)

type answer struct {
	code    codes.Code
	payload []byte
}

// Conn is one connection. Both ends may call, answer and send. Each end numbers its calls on a connection from 1 on and uses no
// number twice, so that an answer belongs to one call, of one connection: one that comes after its call has ended, or on another
// connection than its call, reaches nobody.
type Conn struct {
	socket  net.Conn
	handler Handler
	closed  chan struct{}

	heardAt atomic.Int64 // when a frame was read last, in nanoseconds since the connection began
	begunAt time.Time

	mu      sync.Mutex
	waiting map[uint64]chan answer
	nextID  uint64
	queue   []byte
	wake    chan struct{}
	ended   bool
}

func newConn(socket net.Conn, handler Handler) *Conn {
	setSocketOptions(socket)
	c := &Conn{
		socket:  socket,
		handler: handler,
		closed:  make(chan struct{}),
		waiting: map[uint64]chan answer{},
		wake:    make(chan struct{}, 1),
		begunAt: time.Now(),
	}
	go c.writeLoop()
	return c
}

func setSocketOptions(socket net.Conn) {
	tcp, isTCP := socket.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
	})
}

// RemoteAddr is the address of the other end.
func (c *Conn) RemoteAddr() string { return c.socket.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Close ends the connection; calls that wait get LinkBroken.
func (c *Conn) Close() {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	_ = c.socket.Close()
	close(c.closed)
	for _, channel := range waiting {
		channel <- answer{code: codes.LinkBroken}
	}
}

// Send queues a one-way message. It never waits; a peer that does not read loses the connection.
func (c *Conn) Send(kind Kind, payload []byte) {
	c.send(header{Kind: kind}, payload)
}

func (c *Conn) send(h header, payload []byte) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if len(c.queue)+len(payload) > maxQueued {
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

// Call sends a call and waits for its answer. A code other than OK is returned as the error.
func (c *Conn) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, codes.Timeout // nothing is sent for a caller that has gone
	}
	channel := make(chan answer, 1)
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil, codes.LinkBroken
	}
	c.nextID++
	id := c.nextID
	c.waiting[id] = channel
	c.mu.Unlock()
	sentAt := time.Since(c.begunAt)
	c.send(header{Kind: kind, ID: id}, payload)
	select {
	case got := <-channel:
		if got.code != codes.OK {
			return got.payload, got.code
		}
		return got.payload, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
		if seemsDead(sentAt, time.Since(c.begunAt), time.Duration(c.heardAt.Load())) {
			c.Close()
		}
		return nil, codes.Timeout
	}
}

// seemsDead tells whether a connection has brought nothing since a call was sent that has waited for long. Times count from the
// beginning of the connection.
func seemsDead(sentAt, now, heardAt time.Duration) bool {
	return heardAt < sentAt && now-sentAt >= deadAfter
}

func (c *Conn) writeLoop() {
	var spare []byte
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		c.mu.Lock()
		batch := c.queue
		c.queue = spare[:0]
		c.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if _, err := c.socket.Write(batch); err != nil {
			c.Close()
			return
		}
		if cap(batch) > payloadStep {
			batch = nil
		}
		spare = batch
	}
}

// readLoop takes frames until the connection ends.
func (c *Conn) readLoop() {
	defer c.Close()
	reader := bufio.NewReaderSize(c.socket, readBuffer)
	for {
		h, payload, err := readFrame(reader)
		if err != nil {
			return
		}
		c.heardAt.Store(int64(time.Since(c.begunAt)))
		if h.Kind == kindAnswer {
			c.deliver(h, payload)
			continue
		}
		c.handler(Message{Kind: h.Kind, Payload: payload, Conn: c, id: h.ID})
	}
}

func (c *Conn) deliver(h header, payload []byte) {
	c.mu.Lock()
	channel := c.waiting[h.ID]
	delete(c.waiting, h.ID)
	c.mu.Unlock()
	if channel != nil {
		channel <- answer{code: codes.Code(h.Code), payload: payload}
	}
}
