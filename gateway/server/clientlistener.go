package server

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/internal/mutation"
)

const (
	acceptRetryPause = 20 * time.Millisecond // after a failed accept
	fullPollInterval = 5 * time.Millisecond  // how often a listener at its limit checks whether a connection has closed
)

// OperationLimit reports whether a request's operation, method, plan, units and gateway set are valid under the settings. limit is
// the longest time, in seconds, for which an invocation of the operation is waited for; 0: the settings set no limit.
type OperationLimit func(operation, method, plan string, units float64, gatewayCount, firstGateway int) (limit float64, ok bool)

// ClientOptions configure a ClientListener.
type ClientOptions struct {
	Address        string         // listen address, "host:port"
	OperationLimit OperationLimit // validates requests against the settings
	MaxConns       int            // maximum number of open connections
	Ready          func() bool    // reports whether the gateway may receive traffic, for the health check
}

// ClientListener accepts client connections and owns them until they are closed.
type ClientListener struct {
	ctx            context.Context
	group          *errgroup.Group
	loop           *EventLoop
	log            zerolog.Logger
	buffers        *BufferPool
	listener       net.Listener
	operationLimit OperationLimit
	ready          func() bool
	maxConns       int
	requestTimeout time.Duration

	shuttingDown       atomic.Bool
	closeAfterResponse atomic.Bool   // every response closes its connection, even if further requests are buffered
	acceptDone         chan struct{} // closed when Accept has returned
	halfClosed         atomic.Int32  // number of conns whose write side is closed

	mu    sync.Mutex // while it is held, only a clientConn.mu may be locked
	conns map[*clientConn]bool
}

// NewClientListener opens the listener. Accept accepts the connections.
func NewClientListener(ctx context.Context, group *errgroup.Group, loop *EventLoop, log zerolog.Logger, buffers *BufferPool,
	options ClientOptions,
) (*ClientListener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	if mutation.AddressShared {
		const reusePort = 0xf // SO_REUSEPORT on Linux
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
			})
		}
	}
	listener, err := config.Listen(ctx, "tcp", options.Address)
	if err != nil {
		return nil, err
	}
	return &ClientListener{
		ctx:            ctx,
		group:          group,
		loop:           loop,
		log:            log,
		buffers:        buffers,
		listener:       listener,
		operationLimit: options.OperationLimit,
		ready:          options.Ready,
		maxConns:       options.MaxConns,
		requestTimeout: defaultRequestTimeout,
		acceptDone:     make(chan struct{}),
		conns:          map[*clientConn]bool{},
	}, nil
}

// Accept accepts connections until the listener is closed. When file descriptors run out, or at the connection limit, it evicts an idle
// connection and continues.
func (l *ClientListener) Accept() error {
	defer close(l.acceptDone)
	for {
		tcp, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Warn().Err(err).Msg("accept failed; retrying")
			l.evictIdle()
			time.Sleep(acceptRetryPause)
			continue
		}
		open, halfClosed := l.serve(tcp)
		if open-halfClosed > l.maxConns/2 { // early enough that clients still have a connection for their next request
			l.evictIdle()
		}
		l.waitBelowLimit(open, halfClosed)
	}
}

// waitBelowLimit returns once another connection may be accepted.
func (l *ClientListener) waitBelowLimit(open, halfClosed int) {
	for open >= l.maxConns && l.ctx.Err() == nil {
		slotPending := open-halfClosed < l.maxConns
		if slotPending || !l.evictIdle() {
			time.Sleep(fullPollInterval)
		}
		open, halfClosed = l.counts()
	}
}

// serve starts to serve a connection. It returns the number of open connections, and how many of them have their write side closed.
func (l *ClientListener) serve(tcp net.Conn) (open, halfClosed int) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		l.log.Error().Err(err).Msg("cannot serve client connection")
		tcp.Close()
		return l.counts()
	}
	conn := newClientConn(l, tcp, raw)
	l.mu.Lock()
	l.conns[conn] = true
	l.mu.Unlock()
	l.group.Go(func() error {
		conn.readLoop()
		return nil
	})
	l.group.Go(func() error {
		conn.serve()
		return nil
	})
	return l.counts()
}

func (l *ClientListener) counts() (open, halfClosed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), int(l.halfClosed.Load())
}

func (l *ClientListener) connections() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// remove deletes a closed connection from the set.
func (l *ClientListener) remove(conn *clientConn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	l.halfClosed.Add(-1)
}

// Close closes the listener and interrupts every connection.
func (l *ClientListener) Close() {
	l.listener.Close()
	for _, conn := range l.connections() {
		interrupt(conn.tcp)
	}
}
