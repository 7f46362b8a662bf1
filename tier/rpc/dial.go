package rpc

import (
	"context"
	"net"
	"time"

	"otterseam/internal/bytebudget"
	"otterseam/tier/codes"
)

// dialTimeout is the timeout for opening a connection, including all hedged attempts.
const dialTimeout = 400 * time.Millisecond

// Dial opens a connection. The error is codes.LinkBroken. The handler receives the calls and one-way messages of the peer; it may be nil.
func Dial(ctx context.Context, address string, handler Handler) (*Conn, error) {
	return dialWithin(ctx, address, handler, nil)
}

// dialWithin is like Dial. The frames that are received stay within a budget, which may be nil.
func dialWithin(ctx context.Context, address string, handler Handler, frames *bytebudget.Budget) (*Conn, error) {
	call, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := dialHedged(call, func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, codes.LinkBroken
	}
	if handler == nil {
		handler = func(Message) {}
	}
	return openConn(socket, handler, frames), nil
}

// hedgeDelay is how long a dial waits before it starts another attempt in parallel. The SYN packet to a machine that is still starting
// is lost, and TCP retransmits it only after one second, although the machine may be up much earlier.
const hedgeDelay = 80 * time.Millisecond

// dialHedged opens a connection with hedged attempts. It starts a new attempt every hedgeDelay until one attempt succeeds or fails, or
// the context ends.
func dialHedged(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	type result struct {
		socket net.Conn
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result)
	attempt := func() {
		socket, err := dial(ctx)
		select {
		case results <- result{socket, err}:
		case <-ctx.Done():
			if err == nil {
				_ = socket.Close()
			}
		}
	}
	defer cancel()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	go attempt()
	for {
		select {
		case got := <-results:
			return got.socket, got.err
		case <-hedge.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
