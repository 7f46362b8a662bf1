package rpc

import (
	"context"
	"net"
	"time"

	"otterseam/tier/codes"
)

// dialTimeout is how long a connection may take to open, several attempts included.
const dialTimeout = 400 * time.Millisecond

// Dial opens a connection; the error is codes.LinkBroken. The handler takes what the other end sends unasked, and may be nil.
func Dial(ctx context.Context, address string, handler Handler) (*Conn, error) {
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
	return openConn(socket, handler), nil
}

// hedgeDelay is how long a dial waits before it makes one more attempt beside. The opening packet to a machine that is just starting is
// lost, and it is sent again only after a second, when the machine may have been up for long.
const hedgeDelay = 80 * time.Millisecond

// dialHedged opens a connection by hedged attempts: they begin one after the other until one succeeds, one is refused, or the context
// ends.
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
