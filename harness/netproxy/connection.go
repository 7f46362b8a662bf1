package netproxy

import (
	"net"
	"sync"
)

// connection is a stream over a link: the connection that came and the one it is led to, with a pipe for each direction. Its ends have
// the number of the direction that leads away from them.
type connection struct {
	link  *Link
	ends  [directionCount]net.Conn
	pipes [directionCount]*pipe
	once  sync.Once // close

	mu         sync.Mutex // guards all below
	closed     bool
	sendsEnded int                  // directions of which all has been passed on
	shut       [directionCount]bool // this end has closed or sends no more
}

// connect leads a connection over the link to another one.
func (l *Link) connect(from, to net.Conn) {
	c := &connection{link: l, ends: [directionCount]net.Conn{from, to}}
	for direction := range c.pipes {
		c.pipes[direction] = newPipe(c, Direction(direction))
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		c.close(true)
		return
	}
	l.connections[c] = true
	l.mu.Unlock()
	if local, ok := to.(*memoryConn); ok {
		local.attach(c.pipes[Backward]) // what it writes goes straight into the pipe
	} else {
		go c.pipes[Backward].readFrom(to)
	}
	go c.pipes[Forward].readFrom(from)
	go c.pipes[Forward].writeTo(to)
	go c.pipes[Backward].writeTo(from)
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close closes both ends, with a reset or not. Nothing else closes both.
func (c *connection) close(reset bool) {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		for _, end := range c.ends {
			closeConn(end, reset)
		}
		c.link.mu.Lock()
		delete(c.link.connections, c)
		c.link.mu.Unlock()
		c.link.changed.Broadcast()
	})
}

// closeConn closes one connection, with a reset if it is of a kind that can have one.
func closeConn(conn net.Conn, reset bool) {
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		_ = lingering.SetLinger(0) // fails only if closed already
	}
	conn.Close()
}

// closeEnd closes one end; the connection goes on without it until the other end closes.
func (c *connection) closeEnd(end Direction) {
	for direction, p := range c.pipes {
		p.discard(Direction(direction) == end)
	}
	closeConn(c.ends[end], true)
}

// setShut notes that an end sends no more.
func (c *connection) setShut(end Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut[end] = true
}

func (c *connection) isShut(end Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut[end]
}

// endSending notes that all of one direction has been passed on, and closes the connection once that is so for both.
func (c *connection) endSending() {
	c.mu.Lock()
	c.sendsEnded++
	both := c.sendsEnded == int(directionCount)
	c.mu.Unlock()
	if both {
		c.close(false)
	}
}
