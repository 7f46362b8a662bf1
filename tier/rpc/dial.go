package rpc

import (
	"context"
	"net"
	"time"
)

// dialHedge is how long a dial waits before it tries once more beside. The opening packet to a machine that is just starting is
// lost, and it is sent again only after a second, when the machine may have been up for long.
const dialHedge = 80 * time.Millisecond

// dialHedged opens a connection by attempts that begin one after the other until one succeeds, one is turned down, or the context
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
	hedge := time.NewTicker(dialHedge)
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
