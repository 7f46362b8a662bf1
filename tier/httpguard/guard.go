package httpguard

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"otterseam/tier/memorybudget"
)

// defaultMaxHeadBytes limits heads until SetMaxHeadBytes is called.
const defaultMaxHeadBytes = 64 << 10

// Guard watches the connections of a server and limits what they hold. The fields are set before Listen.
type Guard struct {
	// Memory limits what the requests of all connections hold; nil for no limit.
	Memory *memorybudget.Budget
	// MaxConnections is the number of connections above which idle ones are closed; 0 for no limit.
	MaxConnections int
	// HeadTooLarge and Overloaded are the responses, as returned by Response, to a head that is too large and to a request for which
	// there is no memory. Without them, the connection is closed.
	HeadTooLarge []byte
	Overloaded   []byte

	headTimeout  atomic.Int64
	maxHeadBytes atomic.Int64
	connections  connectionSet
}

// SetHeadTimeout sets how long the head of a request may take, counted from its first byte; 0 means no limit.
func (g *Guard) SetHeadTimeout(d time.Duration) { g.headTimeout.Store(int64(d)) }

// SetMaxHeadBytes sets how long the head of a request may be, in bytes; 0 means the default.
func (g *Guard) SetMaxHeadBytes(bytes int) { g.maxHeadBytes.Store(int64(bytes)) }

func (g *Guard) headLimit() int {
	if limit := g.maxHeadBytes.Load(); limit > 0 {
		return int(limit)
	}
	return defaultMaxHeadBytes
}

// Install wraps the handler of a server and sets its ConnState and ConnContext hooks. The server must accept its connections from a
// listener that Listen returned.
func (g *Guard) Install(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOf(r.Context()); conn != nil {
			conn.headRead()
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		watched, ok := conn.(*guardedConn)
		if !ok {
			return
		}
		switch state {
		case http.StateNew, http.StateIdle:
			watched.expectHead()
		case http.StateClosed:
			watched.claim.Close()
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

// HasAmbiguousLength reports whether the head of a request has several Content-Length or Transfer-Encoding headers, or both kinds.
func HasAmbiguousLength(r *http.Request) bool {
	conn := connOf(r.Context())
	if conn == nil {
		return false
	}
	lengths, encodings := conn.countLengthHeaders()
	return lengths > 1 || (lengths == 1 && encodings > 0) || encodings > 1
}

type connKey struct{}

// connOf returns the connection of a request, or nil if no guard watches it.
func connOf(ctx context.Context) *guardedConn {
	conn, _ := ctx.Value(connKey{}).(*guardedConn)
	return conn
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection, wrapped in a guardedConn. At the maximum number of connections it closes an idle one, or the new
// one if none is idle.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &guardedConn{Conn: inner, guard: l.guard, readingHead: true, waitingSince: time.Now()}
		if l.guard.connections.add(conn, l.guard.MaxConnections) {
			return conn, nil
		}
		_ = inner.Close() // nothing was read, so the client can tell that its request has not run
	}
}

// Response returns a complete response that closes its connection. retryAfter is the value of the Retry-After header, or empty.
func Response(status int, retryAfter string, body []byte) []byte {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\n"
	if retryAfter != "" {
		text += "Retry-After: " + retryAfter + "\r\n"
	}
	if len(body) > 0 {
		text += "Content-Type: application/json\r\n"
	}
	text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(text), body...)
}
