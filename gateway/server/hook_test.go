package server

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// connHook runs functions when a connection reaches certain points, for tests that force two operations to interleave. The points
// are: "read" before bytes are read from the socket, "look" before it is checked for unread bytes, and "write", "shut" and "close"
// before the operation of that name, where "shut" closes the write side.
type connHook struct {
	mu      sync.Mutex
	actions map[string]func()
}

// on registers what to run once, when a connection next reaches a point.
func (h *connHook) on(point string, action func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.actions == nil {
		h.actions = map[string]func(){}
	}
	h.actions[point] = action
}

func (h *connHook) reach(point string) {
	h.mu.Lock()
	action := h.actions[point]
	delete(h.actions, point)
	h.mu.Unlock()
	if action != nil {
		action()
	}
}

// hookedConn is a connection that reports to a connHook. If "half" is registered, the next write ends with a reset after half of
// its bytes.
type hookedConn struct {
	*net.TCPConn
	hook *connHook
}

func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return hookedRaw{raw, c.hook}, err
}

func (c *hookedConn) Write(b []byte) (int, error) {
	c.hook.reach("write")
	half := false
	c.hook.mu.Lock()
	if c.hook.actions["half"] != nil {
		delete(c.hook.actions, "half")
		half = true
	}
	c.hook.mu.Unlock()
	if half {
		n, _ := c.TCPConn.Write(b[:len(b)/2])
		_ = c.SetLinger(0)
		return n, syscall.ECONNRESET
	}
	return c.TCPConn.Write(b)
}

func (c *hookedConn) CloseWrite() error {
	c.hook.reach("shut")
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	c.hook.reach("close")
	return c.TCPConn.Close()
}

type hookedRaw struct {
	syscall.RawConn
	hook *connHook
}

func (r hookedRaw) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.hook.reach("read")
		return f(fd)
	})
}

func (r hookedRaw) Control(f func(fd uintptr)) error {
	r.hook.reach("look")
	return r.RawConn.Control(f)
}

// listener wraps l so that it returns hooked connections. "accepted" is reached when the kernel has accepted a connection but
// Accept has not yet returned it.
func (h *connHook) listener(l net.Listener) net.Listener { return &hookedListener{l, h} }

type hookedListener struct {
	net.Listener
	hook *connHook
}

func (l *hookedListener) Accept() (net.Conn, error) {
	tcp, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.hook.reach("accepted")
	return &hookedConn{tcp.(*net.TCPConn), l.hook}, nil
}

func (l *hookedListener) Close() error {
	l.hook.reach("unlisten")
	return l.Listener.Close()
}

// connect dials hooked connections to hosts. "dial" is reached before a dial, "up" when the connection is established.
func (h *connHook) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	h.reach("dial")
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	tcp, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.reach("up")
	return &hookedConn{tcp.(*net.TCPConn), h}, nil
}
