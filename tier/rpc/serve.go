package rpc

import (
	"errors"
	"net"
)

// Serve accepts connections until the listener ends. The handler takes the messages of all of them. Connections live on after
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
