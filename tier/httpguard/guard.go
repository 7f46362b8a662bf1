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

// SetHeadTimeout bounds how long the head of a request may take from its first byte; 0 means no bound.
func (g *Guard) SetHeadTimeout(d time.Duration) { g.headTimeout.Store(int64(d)) }

// Install has a server's connections watched; they have to come from Listen.
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

// Listen wraps a listener.
func (g *Guard) Listen(inner net.Listener) net.Listener { return &guardedListener{inner, g} }

// HasAmbiguousLength tells whether the head of a request names its body's length twice, or a length beside chunks. A handler calls it
// once, before it does anything else.
func HasAmbiguousLength(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*guardedConn)
	if !ok {
		return false
	}
	lengths, chunks := conn.countLengthHeaders()
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
	return &guardedConn{Conn: conn, guard: l.guard, readingHead: true}, nil
}
