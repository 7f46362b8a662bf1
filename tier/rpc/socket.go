package rpc

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeoutMS is how long sent bytes may stay unacknowledged before the kernel closes a connection (TCP_USER_TIMEOUT).
	tcpUserTimeoutMS = 1500
	// keepAliveInterval and keepAliveProbes detect that the peer's machine is gone while the connection is idle.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// setSocketOptions sets the timeouts that close a connection soon after the peer's machine is gone. It ignores errors, as a connection
// without these options works and is only closed later.
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
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMS)
	})
}
