package netproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// memoryConn is the end of a stream for a stand-in server in this process. It needs no file descriptor. The link's pipes use its Write,
// CloseWrite and Close methods to deliver data to the stand-in. The stand-in itself uses an InProcessConn.
type memoryConn struct {
	address net.Addr

	mu       sync.Mutex // guards all below
	arrived  *sync.Cond // signals data, end of file or closing
	incoming []byte
	eof      bool // no more data comes
	closed   bool
	reset    bool      // Close resets the connection
	out      *pipe     // carries the stand-in's data; nil: not attached to a connection yet
	early    []segment // sent before attach
}

func newMemoryConn() *memoryConn {
	m := &memoryConn{address: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	m.arrived = sync.NewCond(&m.mu)
	return m
}

// attach sets the pipe that carries the stand-in's data, and enqueues the segments sent before.
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

// Read returns data that came over the link to the stand-in.
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

// Write appends data that came over the link to the data that the stand-in reads.
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

// CloseWrite makes the stand-in's Read return io.EOF after the remaining data.
func (m *memoryConn) CloseWrite() error {
	m.mu.Lock()
	m.eof = true
	m.mu.Unlock()
	m.arrived.Broadcast()
	return nil
}

// SetLinger makes Close reset the connection. It ignores the time.
func (m *memoryConn) SetLinger(int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset = true
	return nil
}

// send enqueues a segment of the stand-in for the link. It returns false if the connection is closed.
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

// Close closes the connection. Data sent before is still forwarded over the link, except in a reset.
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
	if _, gone := out.state(); gone { // the other end isn't notified
		return nil
	}
	if reset {
		go out.connection.close(true)
	} else {
		go out.enqueue(segment{end: true, arrived: time.Now()})
	}
	return nil
}

// LocalAddr returns a loopback address without a port.
func (m *memoryConn) LocalAddr() net.Addr { return m.address }

// RemoteAddr returns a loopback address without a port.
func (m *memoryConn) RemoteAddr() net.Addr { return m.address }

// SetDeadline does nothing. Reads wait until data comes or the connection ends.
func (m *memoryConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (m *memoryConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// InProcessConn is the connection of a stand-in server over a link.
type InProcessConn struct{ *memoryConn }

// Write sends over the link.
func (c InProcessConn) Write(bytes []byte) (int, error) {
	if !c.send(segment{bytes: append([]byte(nil), bytes...), arrived: time.Now()}) {
		return 0, net.ErrClosed
	}
	return len(bytes), nil
}

// OnPass arranges that done is called after all data written before has passed the link, if the other end is still open to read it.
func (c InProcessConn) OnPass(done func()) { c.send(segment{onPass: done, arrived: time.Now()}) }

// ListenInProcess listens on loopback and returns the address. For each accepted connection it calls handle, on a new goroutine, with an
// InProcessConn that is connected over the link.
func (l *Link) ListenInProcess(handle func(c net.Conn)) (string, error) {
	return l.Listen(func() (net.Conn, error) {
		local := newMemoryConn()
		go handle(InProcessConn{local})
		return local, nil
	})
}
