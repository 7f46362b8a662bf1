package netproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// memoryConn is the end of a stream that a stand-in of this process holds. It needs no file descriptor. Its methods as a net.Conn are
// the link's side: the pipes write what comes for the stand-in and close it. The stand-in gets an InProcessConn.
type memoryConn struct {
	address net.Addr

	mu       sync.Mutex // guards all below
	arrived  *sync.Cond // something to read, or an end
	incoming []byte
	eof      bool // nothing more comes
	closed   bool
	reset    bool      // close with a reset
	out      *pipe     // takes what the stand-in sends; nil: it belongs to no connection yet
	early    []segment // sent before that
}

func newMemoryConn() *memoryConn {
	m := &memoryConn{address: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	m.arrived = sync.NewCond(&m.mu)
	return m
}

// attach gives it the pipe of its connection.
func (m *memoryConn) attach(out *pipe) {
	m.mu.Lock()
	m.out = out
	early := m.early
	m.early = nil
	m.mu.Unlock()
	for _, s := range early {
		out.enqueue(s)
	}
}

// Read gives the stand-in what has come over the link.
func (m *memoryConn) Read(buffer []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.incoming) == 0 && !m.eof && !m.closed {
		m.arrived.Wait()
	}
	if m.closed {
		return 0, net.ErrClosed
	}
	if len(m.incoming) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, m.incoming)
	m.incoming = m.incoming[n:]
	return n, nil
}

// Write takes what has come over the link for the stand-in.
func (m *memoryConn) Write(bytes []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return 0, net.ErrClosed
	}
	m.incoming = append(m.incoming, bytes...)
	m.arrived.Broadcast()
	return len(bytes), nil
}

// CloseWrite tells the stand-in that nothing more comes.
func (m *memoryConn) CloseWrite() error {
	m.mu.Lock()
	m.eof = true
	m.mu.Unlock()
	m.arrived.Broadcast()
	return nil
}

// SetLinger has Close reset the connection, whatever the time is.
func (m *memoryConn) SetLinger(int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset = true
	return nil
}

// send has a segment of the stand-in go over the link; false: it is closed.
func (m *memoryConn) send(s segment) bool {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return false
	}
	out := m.out
	if out == nil {
		m.early = append(m.early, s)
	}
	m.mu.Unlock()
	return out == nil || out.enqueue(s)
}

// Close ends it. What was sent before still goes over the link, unless it is a reset.
func (m *memoryConn) Close() error {
	m.mu.Lock()
	wasClosed := m.closed
	reset := m.reset
	out := m.out
	m.closed = true
	m.mu.Unlock()
	m.arrived.Broadcast()
	if wasClosed || out == nil {
		return nil
	}
	if _, gone := out.state(); gone { // the other end isn't told
		return nil
	}
	if reset {
		go out.connection.close(true)
	} else {
		go out.enqueue(segment{end: true, arrived: time.Now()})
	}
	return nil
}

// LocalAddr is a loopback address without a port.
func (m *memoryConn) LocalAddr() net.Addr { return m.address }

// RemoteAddr is a loopback address without a port.
func (m *memoryConn) RemoteAddr() net.Addr { return m.address }

// SetDeadline does nothing: reads wait until something comes or the link ends.
func (m *memoryConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (m *memoryConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// InProcessConn is a stand-in's connection over a link.
type InProcessConn struct{ *memoryConn }

// Write sends over the link.
func (c InProcessConn) Write(bytes []byte) (int, error) {
	if !c.send(segment{bytes: append([]byte(nil), bytes...), arrived: time.Now()}) {
		return 0, net.ErrClosed
	}
	return len(bytes), nil
}

// OnPass has done called once all that was written before has passed the link, if the other end is still there to read it.
func (c InProcessConn) OnPass(done func()) { c.send(segment{onPass: done, arrived: time.Now()}) }

// ListenInProcess listens on loopback and returns the address. Each connection that comes is led over the link to handle, which gets an
// InProcessConn on a goroutine of its own.
func (l *Link) ListenInProcess(handle func(c net.Conn)) (string, error) {
	return l.Listen(func() (net.Conn, error) {
		local := newMemoryConn()
		go handle(InProcessConn{local})
		return local, nil
	})
}
