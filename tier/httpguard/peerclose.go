package httpguard

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peerCloseCheckInterval is how often a connection is polled for its client's close while bytes of the next request prevent the server
// from detecting it.
const peerCloseCheckInterval = 100 * time.Millisecond

// watchPeerClose cancels the connection's requests once the client has closed it. It returns when stop is closed. The server itself
// detects the close only by reading, and it reads no further than the first byte of the next request.
func watchPeerClose(conn net.Conn, cancelRequests context.CancelFunc, stop <-chan struct{}) {
	ticker := time.NewTicker(peerCloseCheckInterval)
	defer ticker.Stop()
	for !peerClosed(conn) {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
	cancelRequests()
}

// peerClosed reports whether the peer has closed its side of a connection, even if there is unread data.
func peerClosed(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(polled, 0)
		closed = pollErr == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
