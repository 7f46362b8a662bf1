package rpc

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeoutMS ends a connection whose bytes the peer's machine has not acknowledged for so long, in milliseconds.
	unacknowledgedTimeoutMS = 1500
	// keepAliveInterval and keepAliveProbes end a connection on which nothing is due and whose peer's machine is gone.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// setSocketOptions has a connection end soon after its peer's machine is gone. It does what it can: a connection without the
// options works, and only ends later.
func setSocketOptions(socket net.Conn) {
	tcp, isTCP := socket.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedTimeoutMS)
	})
}
