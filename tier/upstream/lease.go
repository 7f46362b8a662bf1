package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"otterseam/tier/attempt"
)

// Lease is the ownership of a connection for one request. It ends with Release or Close, and with it every hold of the owner:
// the context's, the deadline and the writer of a long request. Using it after that panics, except for Close.
type Lease struct {
	pool      *Pool
	stopAbort func() bool // detaches the owner's context from the connection

	mu       sync.Mutex
	conn     *conn // nil once the lease has ended
	aborted  bool
	exchange attempt.Exchange

	header http.Header // of the response
}

func newLease(ctx context.Context, pool *Pool, conn *conn) *Lease {
	lease := &Lease{pool: pool, conn: conn}
	lease.stopAbort = context.AfterFunc(ctx, lease.abort)
	return lease
}

// abort closes the connection while the lease holds it. The owner's next read or write fails.
func (l *Lease) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.aborted = true
		l.conn.close()
	}
}

// ownedConn returns the connection. It panics if the lease has ended: somebody else may own the connection.
func (l *Lease) ownedConn() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		panic("upstream: a connection is used after its lease has ended")
	}
	return l.conn
}

// Exchange is how far the request has come.
func (l *Lease) Exchange() attempt.Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange
}

// update has the exchange follow an event.
func (l *Lease) update(event func(*attempt.Exchange)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event(&l.exchange)
}

// ClearDeadline removes the deadline of the request, once its response has begun to come.
func (l *Lease) ClearDeadline() { _ = l.ownedConn().socket.SetDeadline(time.Time{}) }

// Release gives the connection back to the pool, if it can carry another request, and closes it otherwise.
func (l *Lease) Release() {
	conn := l.ownedConn()
	idleTimeout := keepAliveTimeout(l.header)
	if !l.detach() || idleTimeout <= 0 {
		conn.close()
		return
	}
	_ = conn.socket.SetDeadline(time.Time{}) // that of this request would end the next one
	conn.idleTimeout = idleTimeout
	conn.idleSince = time.Now()
	l.pool.release(conn)
}

// Close ends the connection, unless the lease has ended before.
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

// detach ends every hold of the owner. It reports whether the connection can carry another request.
func (l *Lease) detach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reusable := l.exchange.IsReusable() && !l.aborted
	l.conn = nil // from here on, abort does nothing, also if it has begun
	l.stopAbort()
	return reusable
}
