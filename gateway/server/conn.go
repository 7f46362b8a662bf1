package server

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// pastDeadline is a deadline in the past. Set on a connection, it makes all pending reads and writes return.
var pastDeadline = time.Unix(1, 0)

var errNoDescriptor = errors.New("connection has no file descriptor")

// Errors from setting a deadline or closing the write side are ignored in this package: they mean that the connection has ended,
// which its reader detects as well.

// interrupt makes all reads and writes on a connection return at once. Its reader then closes it.
func interrupt(conn net.Conn) { _ = conn.SetDeadline(pastDeadline) }

func setReadTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

func setWriteTimeout(conn net.Conn, timeout time.Duration) {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
}

// closeWrite closes the write side of a connection, so that the remote end reads EOF.
func closeWrite(conn net.Conn) {
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

// rawConnOf returns access to a connection's file descriptor.
func rawConnOf(conn net.Conn) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return syscallConn.SyscallConn()
}

// readOnce reads once from a non-blocking file descriptor. wouldBlock reports that no data is available yet. It is called within
// RawConn.Read and under the lock of the connection's state. The state therefore accounts for all bytes that have left the kernel's
// receive buffer while the connection is being closed or the next request is being written.
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

// receiveBufferEmpty reports whether a connection has neither unread bytes nor an unread EOF or error.
func receiveBufferEmpty(conn net.Conn) bool {
	raw, err := rawConnOf(conn)
	if err != nil {
		return false
	}
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && errors.Is(err, syscall.EAGAIN)
}
