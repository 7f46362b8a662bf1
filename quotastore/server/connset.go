package server

import (
	"net"
	"sync"
)

// connSet holds the open connections of a listener or transport, and is the one place that closes them: when their work is
// done, or all at once at shutdown, which unblocks whoever reads or writes them.
type connSet struct {
	limit int // 0: none

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool // by closeAll: no connection is taken any more
}

func newConnSet(limit int) *connSet { return &connSet{limit: limit, open: map[net.Conn]bool{}} }

// add takes a connection; false: there are too many, or the set is closed, and the connection is closed.
func (c *connSet) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.limit > 0 && len(c.open) >= c.limit {
		conn.Close()
		return false
	}
	c.open[conn] = true
	return true
}

// close closes a connection of the set, unless it is closed already.
func (c *connSet) close(conn net.Conn) {
	c.mu.Lock()
	isOpen := c.open[conn]
	delete(c.open, conn)
	c.mu.Unlock()
	if isOpen {
		conn.Close()
	}
}

// closeAll closes all connections, and those that are added later.
func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
	clear(c.open)
}
