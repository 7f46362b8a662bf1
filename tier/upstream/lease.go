package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"otterseam/tier/attempt"
)

// Lease is the ownership of a connection for one request. It ends with Release or Close. From then on the owner's context, its
// deadline and the writer of a long request no longer affect the connection. Using the lease after its end panics, except for Close.
type Lease struct {
	pool      *Pool
	stopAbort func() bool // detaches the owner's context from the connection

	mu       sync.Mutex
	conn     *conn // nil once the lease has ended
	aborted  bool
	exchange attempt.Exchange

	header http.Header // header of the response
}

func newLease(ctx context.Context, pool *Pool, conn *conn) *Lease {
	lease := &Lease{pool: pool, conn: conn}
	lease.stopAbort = context.AfterFunc(ctx, lease.Abort)
	return lease
}

// Abort closes the connection unless the lease has ended. The owner's next read or write fails. Any goroutine may call it.
func (l *Lease) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.aborted = true
		l.conn.close()
	}
}

// ownedConn returns the connection. It panics if the lease has ended, as the connection may have another owner by then.
func (l *Lease) ownedConn() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		panic("upstream: connection used after its lease has ended")
	}
	return l.conn
}

// Exchange returns the progress of the request and its response.
func (l *Lease) Exchange() attempt.Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange
}

// update applies an event to the exchange.
func (l *Lease) update(event func(*attempt.Exchange)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event(&l.exchange)
}

// ClearDeadline removes the deadline of the request. It is called once the response has begun to arrive.
func (l *Lease) ClearDeadline() { l.SetDeadline(time.Time{}) }

// SetDeadline replaces the deadline of the request.
func (l *Lease) SetDeadline(deadline time.Time) { _ = l.ownedConn().socket.SetDeadline(deadline) }

// Release returns the connection to the pool if it can carry another request, and closes it otherwise.
func (l *Lease) Release() {
	conn := l.ownedConn()
	idleTimeout := keepAliveTimeout(l.header)
	if !l.detach() || idleTimeout <= 0 {
		conn.close()
		return
	}
	_ = conn.socket.SetDeadline(time.Time{}) // the deadline of this request must not apply to the next one
	conn.idleTimeout = idleTimeout
	conn.idleSince = time.Now()
	l.pool.release(conn)
}

// Close closes the connection unless the lease has already ended.
func (l *Lease) Close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return
	}
	l.detach()
	conn.close()
}

// detach ends the lease and detaches the owner's context. It reports whether the connection can carry another request.
func (l *Lease) detach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reusable := l.exchange.IsReusable() && !l.aborted
	l.conn = nil // from here on Abort does nothing, even if it is already waiting for the lock
	l.stopAbort()
	return reusable
}
