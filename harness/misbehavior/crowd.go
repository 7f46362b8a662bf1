package misbehavior

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 10 * time.Second
	// writeTimeout limits what a client waits for a server that doesn't read. The client stays connected afterwards.
	writeTimeout = 10 * time.Second
	// dialConcurrency bounds the connections that are being opened, since a listener drops connections beyond its backlog.
	dialConcurrency = 64
)

// Crowd is a number of clients that stay connected until Stop.
type Crowd struct {
	writing sync.WaitGroup
	reading sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	conns   []net.Conn
	stopped bool
}

// Start starts a crowd of clients at an address. The clients dial and write concurrently.
func Start(address string, size int, client Client) *Crowd {
	c := &Crowd{}
	dialing := make(chan struct{}, dialConcurrency)
	for number := range size {
		c.writing.Go(func() {
			dialing <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			<-dialing
			if err == nil && c.add(conn, client.IgnoresResponses) {
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				_ = client.Write(conn, number) // the server may refuse the client or close the connection
			}
		})
	}
	return c
}

// add registers a connection, and reads from it unless its client ignores responses. It returns false if the crowd was stopped.
func (c *Crowd) add(conn net.Conn, ignoresResponses bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	if !ignoresResponses {
		c.reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	return true
}

// AwaitSent waits until each client has sent everything, or was refused, or has waited for the server for too long.
func (c *Crowd) AwaitSent() { c.writing.Wait() }

// Stop closes the connections.
func (c *Crowd) Stop() {
	c.mu.Lock()
	c.stopped = true
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.writing.Wait()
	c.reading.Wait()
}
