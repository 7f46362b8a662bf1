package server

import (
	"net"
	"sync"
)

// connSet tracks the open connections of a listener or transport. It alone closes them: each one when it is finished, and all of
// them at shutdown, which unblocks the goroutines that read or write them.
type connSet struct {
	limit int // maximum number of open connections; 0: unlimited

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool // set by closeAll; no more connections are accepted
}

func newConnSet(limit int) *connSet { return &connSet{limit: limit, open: map[net.Conn]bool{}} }

// add adds a connection. If the limit is reached or the set is closed, add closes the connection and returns false.
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

// close closes a connection of the set, unless it is already closed.
func (c *connSet) close(conn net.Conn) {
	c.mu.Lock()
	isOpen := c.open[conn]
	delete(c.open, conn)
	c.mu.Unlock()
	if isOpen {
		conn.Close()
	}
}

// closeAll closes all connections. Connections that are added later are closed immediately.
func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
	clear(c.open)
}
