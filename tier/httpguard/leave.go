package httpguard

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leaveCheckEvery is how often a connection is asked whether its client has left, while bytes of its next request keep the server
// from seeing it.
const leaveCheckEvery = 100 * time.Millisecond

// watchLeave cancels the connection's requests once its client has left, until stop is closed. The server itself sees that only
// by reading, and reads no further than the first byte of the next request.
func watchLeave(conn net.Conn, leave context.CancelFunc, stop <-chan struct{}) {
	ticker := time.NewTicker(leaveCheckEvery)
	defer ticker.Stop()
	for !peerHasLeft(conn) {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
	leave()
}

// peerHasLeft tells whether the other end has ended its side of a connection, however many bytes are unread.
func peerHasLeft(conn net.Conn) bool {
	source, can := conn.(syscall.Conn)
	if !can {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(polled, 0)
		left = pollErr == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}
