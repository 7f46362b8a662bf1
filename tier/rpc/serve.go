package rpc

import (
	"errors"
	"net"
	"time"

	"otterseam/internal/bytebudget"
)

// acceptRetryDelay is the pause after a failed accept. The usual reason is that the process has no descriptor left.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed. The handler receives the messages of all connections, which stay open after
// Serve has returned.
func Serve(listener net.Listener, handler Handler) { ServeWithin(listener, handler, nil) }

// ServeWithin is like Serve. The frames that are being received and handled on all connections stay within the budget, which may be nil
// for no limit.
func ServeWithin(listener net.Listener, handler Handler, budget *bytebudget.Budget) {
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		openConn(socket, handler, budget)
	}
}
