package rpc

import (
	"errors"
	"net"
)

// Serve accepts connections until the listener is closed. The handler receives the messages of all connections, which stay open after
// Serve has returned.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			if isTimeout(err) {
				continue
			}
			return
		}
		openConn(socket, handler)
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
