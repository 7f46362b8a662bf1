package server

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// connHook stops connections at points of their life, for tests that force two things to cross. The points: "read" before the
// system is asked for bytes, "look" before it is asked whether any stand there, "write", "shut" and "close" before those.
type connHook struct {
	mu sync.Mutex
	at map[string]func()
}

// on has what run once, when a connection next comes to a point.
func (h *connHook) on(point string, what func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[string]func(){}
	}
	h.at[point] = what
}

func (h *connHook) pass(point string) {
	h.mu.Lock()
	what := h.at[point]
	delete(h.at, point)
	h.mu.Unlock()
	if what != nil {
		what()
	}
}

// hookedConn is such a connection. half: the next write breaks off in the middle, as by a reset.
type hookedConn struct {
	*net.TCPConn
	hook *connHook
}

func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return hookedRaw{raw, c.hook}, err
}

func (c *hookedConn) Write(b []byte) (int, error) {
	c.hook.pass("write")
	half := false
	c.hook.mu.Lock()
	if c.hook.at["half"] != nil {
		delete(c.hook.at, "half")
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
	c.hook.pass("shut")
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	c.hook.pass("close")
	return c.TCPConn.Close()
}

type hookedRaw struct {
	syscall.RawConn
	hook *connHook
}

func (r hookedRaw) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.hook.pass("read")
		return f(fd)
	})
}

func (r hookedRaw) Control(f func(fd uintptr)) error {
	r.hook.pass("look")
	return r.RawConn.Control(f)
}

// listener gives hooked connections; "accepted" is passed when the system has given one, before the program has it.
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
	l.hook.pass("accepted")
	return &hookedConn{tcp.(*net.TCPConn), l.hook}, nil
}

func (l *hookedListener) Close() error {
	l.hook.pass("unlisten")
	return l.Listener.Close()
}

// connect gives hooked connections to hosts; "dial" is passed before one is begun, "up" when it stands.
func (h *connHook) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	h.pass("dial")
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	tcp, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.pass("up")
	return &hookedConn{tcp.(*net.TCPConn), h}, nil
}
