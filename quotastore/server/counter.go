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
	maxCallsPerConn    = 1024 // without an answer yet
	callReadBuffer     = 16 << 10
	callReadTimeout    = 30 * time.Second // a connection without a call for so long is closed
	answerWriteTimeout = 5 * time.Second
	lingerTimeout      = time.Second // for which a connection with a malformed call is read on after its last answer
)

// counterListener owns the listener for callers of the counter's published protocol (HTTP/1.1), and their connections.
type counterListener struct {
	server   *Server
	listener net.Listener
	conns    *connSet

	ctx context.Context // of start, and set before any goroutine starts

	dirty []*counterConn // with answers that were not handed to the writer yet; of the event loop alone
}

func newCounterListener(s *Server, address string) (*counterListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("counter listener: %w", err)
	}
	return &counterListener{server: s, listener: listener, conns: newConnSet(maxCounterConns)}, nil
}

// start starts the listener's goroutines in a group. They end with the context, and all that is open is closed then.
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

// accept serves connections until the listener is closed.
func (l *counterListener) accept(group *errgroup.Group) error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptRetryPause) // out of descriptors for the moment
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

// flush hands the answers whose turn it is to the writers of their connections. It runs in the event loop, after what the
// answers rest on is written.
func (l *counterListener) flush() {
	for _, c := range l.dirty {
		c.isDirty = false
		c.flush()
	}
	l.dirty = l.dirty[:0]
}
