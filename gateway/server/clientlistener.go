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
	acceptRetryPause = 20 * time.Millisecond // after an accept that failed
	fullPollInterval = 5 * time.Millisecond  // how often a full listener looks whether a connection has gone
)

// OperationLimit says whether the settings know what a request says of its invocation, and the most seconds for which one of
// its operation is waited for; 0: no limit of their own.
type OperationLimit func(operation, method, plan string, units float64, gatewayCount, firstGateway int) (limit float64, ok bool)

// ClientOptions are what a ClientListener is made from.
type ClientOptions struct {
	Address        string         // where it listens, "host:port"
	OperationLimit OperationLimit // what the settings know of operations
	MaxConns       int            // connections open at once
	Ready          func() bool    // whether the gateway may be sent work, for the health check
}

// ClientListener accepts the connections of clients and owns them until they are closed.
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

	shuttingDown    atomic.Bool
	everyAnswerLast atomic.Bool   // every answer is its connection's last, whatever has come behind its request
	acceptDone      chan struct{} // closed when no connection is accepted any more
	halfClosed      atomic.Int32  // of conns, those whose sending side is shut

	mu    sync.Mutex // after it only a clientConn.mu is taken
	conns map[*clientConn]bool
}

// NewClientListener opens the listener; Accept takes the connections.
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

// Accept takes connections until the listener is closed. Out of descriptors, or at its limit, it makes room by closing the
// connection that has been idle longest, and goes on.
func (l *ClientListener) Accept() error {
	defer close(l.acceptDone)
	for {
		tcp, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Warn().Err(err).Msg("accept pauses")
			l.makeRoom()
			time.Sleep(acceptRetryPause)
			continue
		}
		open, halfClosed := l.serve(tcp)
		if open-halfClosed > l.maxConns/2 { // before clients have no connection left for their next request
			l.makeRoom()
		}
		l.waitBelowLimit(open, halfClosed)
	}
}

// waitBelowLimit returns once another connection may be accepted.
func (l *ClientListener) waitBelowLimit(open, halfClosed int) {
	for open >= l.maxConns && l.ctx.Err() == nil {
		roomOnItsWay := open-halfClosed < l.maxConns
		if roomOnItsWay || !l.makeRoom() {
			time.Sleep(fullPollInterval)
		}
		open, halfClosed = l.counts()
	}
}

// serve begins to serve a connection. It says how many are open, and how many of them have their sending side shut.
func (l *ClientListener) serve(tcp net.Conn) (open, halfClosed int) {
	raw, err := rawConnOf(tcp)
	if err != nil {
		l.log.Error().Err(err).Msg("connection not served")
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

// remove forgets a connection that is closed.
func (l *ClientListener) remove(conn *clientConn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	l.halfClosed.Add(-1)
}

// Close ends the listener and every connection.
func (l *ClientListener) Close() {
	l.listener.Close()
	for _, conn := range l.connections() {
		interrupt(conn.tcp)
	}
}
