package netproxy

import (
	"net"
	"sync"
)

// connection is a stream over a link. It consists of the accepted connection, the dialed one and a pipe for each direction. Each end has
// the number of the direction in which it sends.
type connection struct {
	link  *Link
	ends  [directionCount]net.Conn
	pipes [directionCount]*pipe
	once  sync.Once // guards close

	mu              sync.Mutex // guards all below
	closed          bool
	endedDirections int                  // directions whose data has all been forwarded
	finished        [directionCount]bool // this end was closed or has finished sending
}

// connect forwards data between two connections over the link.
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
		local.attach(c.pipes[Backward]) // its writes go directly into the pipe
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

// close closes both ends, optionally with a reset. No other function closes both.
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

// closeConn closes one connection, with a reset if that is requested and the connection's type supports it.
func closeConn(conn net.Conn, reset bool) {
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok && reset {
		_ = lingering.SetLinger(0) // fails only if closed already
	}
	conn.Close()
}

// closeEnd closes one end with a reset. The other end stays open until its own process closes it.
func (c *connection) closeEnd(end Direction) {
	for direction, p := range c.pipes {
		p.discard(Direction(direction) == end)
	}
	closeConn(c.ends[end], true)
}

// setFinished records that an end has finished sending.
func (c *connection) setFinished(end Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished[end] = true
}

func (c *connection) isFinished(end Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished[end]
}

// endDirection records that all data of one direction has been forwarded. It closes the connection after both directions have ended.
func (c *connection) endDirection() {
	c.mu.Lock()
	c.endedDirections++
	both := c.endedDirections == int(directionCount)
	c.mu.Unlock()
	if both {
		c.close(false)
	}
}
