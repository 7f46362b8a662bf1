// Package httpguard watches the heads of requests on the connections of an HTTP server, for what net/http settles by itself and
// a gateway has to refuse: bodies with two lengths or with a length and chunks, and heads that take too long. It also sees that a
// client has left behind the beginning of a further request.
package httpguard

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const maxHead = 256 << 10

// slowHead is the whole answer to a head that did not come in time.
const slowHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Guard watches the connections of a server.
type Guard struct {
	headTimeout atomic.Int64
}

// SetHeadTimeout bounds how long the head of a request may take from its first byte; 0 means no bound.
func (g *Guard) SetHeadTimeout(d time.Duration) { g.headTimeout.Store(int64(d)) }

// Install has a server's connections watched; they have to come from Listen.
func (g *Guard) Install(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if watched, is := conn.(*guardedConn); is && (state == http.StateNew || state == http.StateIdle) {
			watched.expectHead()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if watched, is := conn.(*guardedConn); is {
			ctx, watched.leave = context.WithCancel(ctx)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// Listen wraps a listener.
func (g *Guard) Listen(inner net.Listener) net.Listener { return &guardedListener{inner, g} }

// AmbiguousLength tells whether the head of a request names its body's length twice, or a length beside chunks. A handler calls it
// once, before it does anything else.
func AmbiguousLength(r *http.Request) bool {
	conn, is := r.Context().Value(connKey{}).(*guardedConn)
	if !is {
		return false
	}
	lengths, chunks := conn.bodyHeaders()
	return lengths > 1 || (lengths == 1 && chunks > 0) || chunks > 1
}

type connKey struct{}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: l.guard, inHead: true}, nil
}

// guardedConn is a connection whose heads are seen as they are read.
type guardedConn struct {
	net.Conn
	guard *Guard
	leave context.CancelFunc // ends the requests of the connection

	mu     sync.Mutex
	watch  chan struct{} // closed when the request is over whose client is watched; nil if none is
	inHead bool
	head   []byte
	due    time.Time // when the head under way has to be whole
}

func (c *guardedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWatch()
	c.inHead = true
	c.head = nil
	c.due = time.Time{}
}

// Read reads from the connection. A head that is not whole in time ends it with 408.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		if n > 0 && len(p) == 1 {
			c.beginWatch()
		}
		return n, err
	}
	if n > 0 {
		c.seen(p[:n])
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && len(c.head) > 0 && !c.due.IsZero() && !time.Now().Before(c.due) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(slowHead))
		c.inHead = false
	}
	return n, err
}

// beginWatch has the client watched while a request is under way; the lock is held. While it is, the server reads single bytes to
// see that the client leaves, and stops with the first one of the next request.
func (c *guardedConn) beginWatch() {
	if c.watch != nil || c.leave == nil {
		return
	}
	c.watch = make(chan struct{})
	go watchLeave(c.Conn, c.leave, c.watch)
}

// endWatch ends the watching; the lock is held.
func (c *guardedConn) endWatch() {
	if c.watch != nil {
		close(c.watch)
		c.watch = nil
	}
}

// Close ends the connection and its context, which would otherwise be kept as long as the server's.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.endWatch()
	c.mu.Unlock()
	if c.leave != nil {
		c.leave()
	}
	return c.Conn.Close()
}

// seen takes bytes of a head; the lock is held.
func (c *guardedConn) seen(data []byte) {
	if len(c.head) == 0 {
		if timeout := time.Duration(c.guard.headTimeout.Load()); timeout > 0 {
			c.due = time.Now().Add(timeout)
			_ = c.Conn.SetReadDeadline(c.due)
		}
	}
	c.head = append(c.head, data...)
	if end := bytes.Index(c.head, []byte("\r\n\r\n")); end >= 0 || len(c.head) > maxHead {
		c.inHead = false
		c.due = time.Time{}
		if end >= 0 {
			c.head = c.head[:end]
		}
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// headCameBefore notes that the head of the request under way came together with the request before it; the lock is held. What has
// been read since is the beginning of the next head, which is not due while this request is under way.
func (c *guardedConn) headCameBefore() {
	c.inHead = false
	if len(c.head) == 0 {
		return
	}
	c.head = nil
	c.due = time.Time{}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.beginWatch()
}

// SetReadDeadline sets when reading ends, but no later than a head under way is due.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due.IsZero() && (t.IsZero() || t.After(c.due)) {
		t = c.due
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side, as the server does before it closes a connection whose bytes it has not all read.
func (c *guardedConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// bodyHeaders counts the headers of the last head that tell how long the body is.
func (c *guardedConn) bodyHeaders() (lengths, chunks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.headCameBefore()
		return 0, 0
	}
	for _, line := range bytes.Split(c.head, []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunks++
		}
	}
	return lengths, chunks
}
