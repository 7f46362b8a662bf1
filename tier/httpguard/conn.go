package httpguard

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxHeadBytes is how much of a head is kept; net/http refuses a longer one.
	maxHeadBytes = 256 << 10
	// backgroundReadBytes is the length of the server's reads while a handler runs, by which they are told from others.
	backgroundReadBytes = 1
	// responseWriteTimeout bounds the writing of headTimeoutResponse.
	responseWriteTimeout = time.Second
	endOfHead            = "\r\n\r\n"
	// headTimeoutResponse answers a head that did not come in time.
	headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// guardedConn is a connection whose heads are seen as they are read.
type guardedConn struct {
	net.Conn
	guard          *Guard
	cancelRequests context.CancelFunc // ends the context of the connection, and so its requests; nil before ConnContext

	mu           sync.Mutex    // guards the fields below
	stopWatch    chan struct{} // ends the watch for the client's close; nil if none runs
	readingHead  bool          // a head is due or under way
	head         []byte        // of the request under way, or what of the next one has been read
	headDeadline time.Time     // of the head under way; zero for none
}

// expectHead waits for the head of the next request.
func (c *guardedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseWatch()
	c.readingHead = true
	c.head = nil
	c.headDeadline = time.Time{}
}

// Read reads from the connection. A head that is not complete in time ends it with 408.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readingHead {
		if n > 0 && len(p) == backgroundReadBytes {
			c.startCloseWatch()
		}
		return n, err
	}
	if n > 0 {
		c.consumeHead(p[:n])
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && len(c.head) > 0 && !c.headDeadline.IsZero() && !time.Now().Before(c.headDeadline) {
		_ = c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		_, _ = c.Write([]byte(headTimeoutResponse))
		c.readingHead = false
	}
	return n, err
}

// startCloseWatch has the client watched while a request is under way; the lock is held. During a request the server reads single
// bytes in the background to see that the client closes, and stops with the first byte of the next request.
func (c *guardedConn) startCloseWatch() {
	if c.stopWatch != nil || c.cancelRequests == nil {
		return
	}
	c.stopWatch = make(chan struct{})
	go watchPeerClose(c.Conn, c.cancelRequests, c.stopWatch)
}

// stopCloseWatch ends the watch; the lock is held.
func (c *guardedConn) stopCloseWatch() {
	if c.stopWatch != nil {
		close(c.stopWatch)
		c.stopWatch = nil
	}
}

// Close ends the connection and its context, which would otherwise be kept as long as the server's.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.stopCloseWatch()
	c.mu.Unlock()
	if c.cancelRequests != nil {
		c.cancelRequests()
	}
	return c.Conn.Close()
}

// consumeHead takes bytes of a head; the lock is held.
func (c *guardedConn) consumeHead(data []byte) {
	if len(c.head) == 0 {
		if timeout := time.Duration(c.guard.headTimeout.Load()); timeout > 0 {
			c.headDeadline = time.Now().Add(timeout)
			_ = c.Conn.SetReadDeadline(c.headDeadline)
		}
	}
	c.head = append(c.head, data...)
	if end := bytes.Index(c.head, []byte(endOfHead)); end >= 0 || len(c.head) > maxHeadBytes {
		c.readingHead = false
		c.headDeadline = time.Time{}
		if end >= 0 {
			c.head = c.head[:end]
		}
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// discardReadAhead is called when the head of the request under way was read together with the request before it (pipelining); the
// lock is held. What has been read since is the beginning of the next head, which is not due while this request is under way.
func (c *guardedConn) discardReadAhead() {
	c.readingHead = false
	if len(c.head) == 0 {
		return
	}
	c.head = nil
	c.headDeadline = time.Time{}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.startCloseWatch()
}

// SetReadDeadline sets when reading ends, but no later than a head under way is due.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side, as the server does before it closes a connection whose bytes it has not all read.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// countLengthHeaders counts the Content-Length and Transfer-Encoding headers of the request under way.
func (c *guardedConn) countLengthHeaders() (lengths, chunks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingHead {
		c.discardReadAhead()
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
