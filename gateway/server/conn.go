package server

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// expired is a deadline in the past: it ends whatever waits on a connection.
var expired = time.Unix(1, 0)

var errNoDescriptor = errors.New("the connection has no descriptor")

// The errors that setting a deadline and shutting a side give are dropped throughout: they tell that the connection has ended,
// which its reader finds as well.

// interrupt has every read and write on a connection return at once. Its reader then closes it.
func interrupt(conn net.Conn) { _ = conn.SetDeadline(expired) }

func setReadTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

func setWriteTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
}

// closeWrite shuts the sending side of a connection, so that the other side reads its end.
func closeWrite(conn net.Conn) {
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

// rawConnOf gives access to a connection's descriptor.
func rawConnOf(conn net.Conn) (syscall.RawConn, error) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return withDescriptor.SyscallConn()
}

// readOnce reads once from a descriptor that does not block; wouldBlock: nothing is there yet. It is called within RawConn.Read
// and under the lock of the connection's state, so that no bytes have left the system that the state does not know of while the
// connection is being shut or the next request is being written on it.
func readOnce(fd uintptr, buffer []byte) (n int, wouldBlock bool, err error) {
	for {
		n, err = syscall.Read(int(fd), buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, true, nil
		case err != nil:
			return 0, false, err
		case n == 0:
			return 0, false, io.EOF
		}
		return n, false, nil
	}
}

// nothingUnread says that nothing stands unread on a connection, neither bytes nor its end.
func nothingUnread(conn net.Conn) bool {
	raw, err := rawConnOf(conn)
	if err != nil {
		return false
	}
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && errors.Is(err, syscall.EAGAIN)
}
