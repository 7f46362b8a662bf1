package httpguard

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Guard watches the connections of a server.
type Guard struct {
	headTimeout atomic.Int64
}

// SetHeadTimeout sets how long the head of a request may take, counted from its first byte; 0 means no limit.
func (g *Guard) SetHeadTimeout(d time.Duration) { g.headTimeout.Store(int64(d)) }

// Install sets the ConnState and ConnContext hooks of a server. The server must accept its connections from a listener that Listen
// returned.
func (g *Guard) Install(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if watched, ok := conn.(*guardedConn); ok && (state == http.StateNew || state == http.StateIdle) {
			watched.expectHead()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if watched, ok := conn.(*guardedConn); ok {
			ctx, watched.cancelRequests = context.WithCancel(ctx)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// Listen wraps a listener so that the guard watches its connections.
func (g *Guard) Listen(inner net.Listener) net.Listener { return &guardedListener{inner, g} }

// HasAmbiguousLength reports whether the head of a request has several Content-Length or Transfer-Encoding headers, or both kinds. A
// handler must call it once, before it does anything else.
func HasAmbiguousLength(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*guardedConn)
	if !ok {
		return false
	}
	lengths, encodings := conn.countLengthHeaders()
	return lengths > 1 || (lengths == 1 && encodings > 0) || encodings > 1
}

type connKey struct{}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection, wrapped in a guardedConn.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: l.guard, readingHead: true}, nil
}
