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
	// maxHeadBytes is how much of a head is kept. net/http rejects a longer one.
	maxHeadBytes = 256 << 10
	// backgroundReadBytes is the size of the reads that the server makes in the background while a handler runs. It distinguishes
	// them from other reads.
	backgroundReadBytes = 1
	// responseWriteTimeout is the timeout for writing headTimeoutResponse.
	responseWriteTimeout = time.Second
	endOfHead            = "\r\n\r\n"
	// headTimeoutResponse is sent when a head is not complete in time.
	headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// guardedConn is a connection that records each request's head as the server reads it.
type guardedConn struct {
	net.Conn
	guard          *Guard
	cancelRequests context.CancelFunc // cancels the context of the connection and of its requests; nil before ConnContext

	mu           sync.Mutex    // guards the fields below
	stopWatch    chan struct{} // closed to stop the watch for the client's close; nil if none runs
	readingHead  bool          // the connection waits for a head or is reading one
	head         []byte        // head of the current request, or the part of the next head that has been read
	headDeadline time.Time     // deadline of the head that is being read; zero for none
}

// expectHead prepares for the head of the next request.
func (c *guardedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseWatch()
	c.readingHead = true
	c.head = nil
	c.headDeadline = time.Time{}
}

// Read reads from the connection. If a head is not complete in time, it sends a 408 response and returns the timeout error.
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

// startCloseWatch starts to watch for the client's close while a request is being handled. The caller holds the lock. During a request
// the server detects that close by reading single bytes in the background, but it stops at the first byte of the next request.
func (c *guardedConn) startCloseWatch() {
	if c.stopWatch != nil || c.cancelRequests == nil {
		return
	}
	c.stopWatch = make(chan struct{})
	go watchPeerClose(c.Conn, c.cancelRequests, c.stopWatch)
}

// stopCloseWatch stops the watch. The caller holds the lock.
func (c *guardedConn) stopCloseWatch() {
	if c.stopWatch != nil {
		close(c.stopWatch)
		c.stopWatch = nil
	}
}

// Close closes the connection and cancels its context, which would otherwise stay registered with the server's context.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.stopCloseWatch()
	c.mu.Unlock()
	if c.cancelRequests != nil {
		c.cancelRequests()
	}
	return c.Conn.Close()
}

// consumeHead adds bytes to the current head. The caller holds the lock.
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

// discardReadAhead is called when the head of the current request was read together with the previous request (pipelining). The caller
// holds the lock. Bytes read since then are the start of the next head, which has no deadline while the current request is handled.
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

// SetReadDeadline sets the read deadline. While a head is being read, the deadline is never later than that of the head.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side. The server does so before it closes a connection with unread data.
func (c *guardedConn) CloseWrite() error {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return writeCloser.CloseWrite()
	}
	return nil
}

// countLengthHeaders returns the numbers of Content-Length and Transfer-Encoding headers of the current request. It returns zeros if
// the head was read together with the previous request.
func (c *guardedConn) countLengthHeaders() (lengths, encodings int) {
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
			encodings++
		}
	}
	return lengths, encodings
}
