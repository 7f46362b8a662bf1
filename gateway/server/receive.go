package server

// This file owns how bytes are read from a connection that two goroutines look at: in one step with what they mean. It must
// never hold bytes that the connection's owner does not know of.

import (
	"errors"
	"io"
	"net"
	"syscall"
)

var errNoDescriptor = errors.New("the connection has no descriptor")

// rawOf gives access to a connection's descriptor.
func rawConnOf(tcp net.Conn) (syscall.RawConn, error) {
	t, ok := tcp.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return t.SyscallConn()
}

// receive reads once from a descriptor that does not block; again: nothing is there yet. Called within RawConn.Read and under
// the lock of the connection's state, it guards against bytes that have left the system and are in nobody's books while the
// connection is shut, or while the next request is written on it.
func readOnce(fd uintptr, buffer []byte) (n int, wouldBlock bool, err error) {
	for {
		n, err = syscall.Read(int(fd), buffer)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, true, nil
		case err != nil:
			return 0, false, err
		case n == 0:
			return 0, false, io.EOF
		}
		return n, false, nil
	}
}

// quiet says that nothing stands unread on a connection, neither bytes nor its end.
func nothingUnread(tcp net.Conn) bool {
	raw, err := rawConnOf(tcp)
	if err != nil {
		return false
	}
	if controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); controlErr != nil {
		return false
	}
	return err == syscall.EAGAIN
}
