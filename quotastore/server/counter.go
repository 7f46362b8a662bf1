package server

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	maxCounterConns    = 2048
	maxCallsPerConn    = 1024 // that have not been answered yet
	callReadBuffer     = 16 << 10
	callReadTimeout    = 30 * time.Second // a connection that sends nothing for this long is closed
	answerWriteTimeout = 5 * time.Second
	lingerTimeout      = time.Second // how long input is still discarded after the last response to a malformed call
)

// counterListener owns the listener for callers of the counter's published protocol (HTTP/1.1), and their connections.
type counterListener struct {
	server   *Server
	listener net.Listener
	conns    *connSet

	ctx context.Context // set by start before any goroutine starts

	dirty []*counterConn // connections with responses not yet passed to the writer; only accessed by the event loop
}

func newCounterListener(s *Server, address string) (*counterListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("counter listener: %w", err)
	}
	return &counterListener{server: s, listener: listener, conns: newConnSet(maxCounterConns)}, nil
}

// start starts the listener's goroutines in a group. When the context is done they end, and the listener and all connections
// are closed.
func (l *counterListener) start(ctx context.Context, group *errgroup.Group) {
	l.ctx = ctx
	group.Go(func() error { return l.accept(group) })
	group.Go(func() error {
		<-ctx.Done()
		l.listener.Close()
		l.conns.closeAll()
		return nil
	})
}

// accept accepts connections and starts serving them, until the listener is closed.
func (l *counterListener) accept(group *errgroup.Group) error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptRetryDelay) // probably out of file descriptors
			continue
		}
		if !l.conns.add(conn) {
			continue
		}
		c := newCounterConn(l, conn)
		group.Go(func() error {
			c.serve(group)
			return nil
		})
	}
}

// flush passes the responses that are next in order to the writers of their connections. It runs in the event loop, after
// everything that the responses depend on has been written.
func (l *counterListener) flush() {
	for _, c := range l.dirty {
		c.isDirty = false
		c.flush()
	}
	l.dirty = l.dirty[:0]
}
