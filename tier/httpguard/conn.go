package httpguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"otterseam/tier/memorybudget"
)

const (
	// backgroundReadBytes is the size of the reads that the server makes in the background while a handler runs. It distinguishes
	// them from other reads.
	backgroundReadBytes = 1
	// responseWriteTimeout is the timeout for writing a response of the guard.
	responseWriteTimeout = time.Second
	// minHeadReservation is the smallest step in which the memory of a head is reserved, enough for most heads.
	minHeadReservation = 16 << 10
	// lingerTimeout and maxLingerBytes limit what is read and discarded after such a response. Closing a connection with unread bytes
	// resets it, and the client may then lose the response.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// headTimeoutResponse is sent when a head is not complete in time.
var headTimeoutResponse = Response(http.StatusRequestTimeout, "", nil)

// expired is a deadline in the past. It ends a pending read.
var expired = time.Unix(1, 0)

// guardedConn is a connection whose requests' heads are scanned as the server reads them.
type guardedConn struct {
	net.Conn
	guard          *Guard
	cancelRequests context.CancelFunc // cancels the context of the connection and of its requests; nil before ConnContext

	// claim is the memory of the current request. The connection's goroutine, which also runs the handlers, opens and closes it.
	claim memorybudget.Claim

	mu           sync.Mutex    // guards the fields below
	stopWatch    chan struct{} // closed to stop the watch for the client's close; nil if none runs
	readingHead  bool          // the connection waits for a head or is reading one
	waitingSince time.Time     // since when it does
	head         headScanner   // of the current request, or of the part of the next head that has been read
	headDeadline time.Time     // deadline of the head that is being read; zero for none
	claimOpen    bool          // the claim of the current request was opened
	reserved     int64         // bytes of the claim for the head
}

// expectHead prepares for the head of the next request.
func (c *guardedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopCloseWatch()
	c.readingHead = true
	c.waitingSince = time.Now()
	c.head = headScanner{}
	c.headDeadline = time.Time{}
	c.claimOpen = false
	c.claim.Close()
}

// Read reads from the connection. If a head is not complete in time or too large, or there is no memory for it, it sends a response and
// returns a timeout error.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	response, rejected := c.scanned(p[:n], len(p), err)
	if !rejected && n > 0 {
		response, rejected = c.reserveHead()
	}
	if rejected {
		c.reject(response)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// scanned scans what was read by a call of Read with a buffer of a size. If the head is rejected, it returns the response.
func (c *guardedConn) scanned(data []byte, bufferBytes int, err error) (response []byte, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readingHead {
		if len(data) > 0 && bufferBytes == backgroundReadBytes {
			c.startCloseWatch()
		}
		return nil, false
	}
	if len(data) > 0 {
		c.scanHead(data)
	}
	response, rejected = c.headRejection(errors.Is(err, os.ErrDeadlineExceeded))
	if rejected {
		c.readingHead = false
		c.headDeadline = time.Time{}
	}
	return response, rejected
}

// headRejection returns whether the current head is rejected, and the response. The caller holds the lock.
func (c *guardedConn) headRejection(readTimedOut bool) (response []byte, rejected bool) {
	switch {
	case c.head.bytes > c.guard.headLimit():
		return c.guard.HeadTooLarge, true
	case readTimedOut && c.claim.Evicted():
		return c.guard.Overloaded, true
	case readTimedOut && c.head.bytes > 0 && !c.headDeadline.IsZero() && !time.Now().Before(c.headDeadline):
		return headTimeoutResponse, true
	default:
		return nil, false
	}
}

// reserveHead reserves the memory of the head that has been read so far. If there is none, it returns the response.
func (c *guardedConn) reserveHead() (response []byte, rejected bool) {
	c.mu.Lock()
	if !c.claimOpen {
		c.mu.Unlock()
		return nil, false
	}
	missing := c.head.cost() - c.reserved
	if missing <= 0 {
		c.mu.Unlock()
		return nil, false
	}
	missing = max(missing, minHeadReservation)
	c.reserved += missing
	deadline := c.headDeadline
	c.mu.Unlock()
	if c.claim.Await(missing, patienceUntil(deadline)) != nil {
		return c.guard.Overloaded, true
	}
	return nil, false
}

// reject sends a response, if there is one, and discards what the client still sends.
func (c *guardedConn) reject(response []byte) {
	if len(response) == 0 {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	if _, err := c.Write(response); err != nil || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// openClaim opens the claim of the current request. It returns false if it is open already or the guard doesn't limit memory.
func (c *guardedConn) openClaim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openClaimLocked()
}

func (c *guardedConn) openClaimLocked() bool {
	if c.claimOpen || c.guard.Memory == nil {
		return false
	}
	c.claimOpen = true
	c.reserved = 0
	c.guard.Memory.Open(&c.claim, time.Now(), c.endRead)
	return true
}

// endRead ends the read of a request that has to yield.
func (c *guardedConn) endRead() { _ = c.Conn.SetReadDeadline(expired) }

// waiting returns since when the connection waits for a head or is reading one, and whether it has read a part of it.
func (c *guardedConn) waiting() (since time.Time, started, isWaiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince, c.head.bytes > 0, c.readingHead
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

// Close closes the connection, removes it from its guard and cancels its context, which would otherwise stay registered with the server's
// context.
func (c *guardedConn) Close() error {
	c.guard.connections.remove(c)
	c.mu.Lock()
	c.stopCloseWatch()
	c.mu.Unlock()
	if c.cancelRequests != nil {
		c.cancelRequests()
	}
	return c.Conn.Close()
}

// scanHead scans bytes of the current head. The caller holds the lock.
func (c *guardedConn) scanHead(data []byte) {
	if c.head.bytes == 0 {
		c.openClaimLocked()
		c.waitingSince = time.Now()
		if timeout := time.Duration(c.guard.headTimeout.Load()); timeout > 0 {
			c.headDeadline = c.waitingSince.Add(timeout)
			_ = c.Conn.SetReadDeadline(c.headDeadline)
		}
	}
	if c.head.scan(data) {
		c.readingHead = false
		c.headDeadline = time.Time{}
		if !c.claim.Evicted() {
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	}
}

// discardReadAhead is called when the head of the current request was read together with the previous request (pipelining). The caller
// holds the lock. Bytes read since then are the start of the next head, which has no deadline while the current request is handled.
func (c *guardedConn) discardReadAhead() {
	c.readingHead = false
	if c.head.bytes == 0 {
		return
	}
	c.head = headScanner{}
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
	if c.claim.Evicted() {
		t = expired
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

// headRead is called when the head of a request has been read completely.
func (c *guardedConn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingHead {
		c.discardReadAhead()
	}
}

// countLengthHeaders returns the numbers of Content-Length and Transfer-Encoding headers of the current request. It returns zeros if
// the head was read together with the previous request.
func (c *guardedConn) countLengthHeaders() (lengths, encodings int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.lengths, c.head.encodings
}
