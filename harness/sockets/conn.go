package sockets

import (
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"otterseam/gateway/http1"
)

const (
	writeTimeout  = 2 * time.Second
	pendingWrites = 256
)

// ReadMessages reads HTTP messages from a connection and calls handle for each, until handle returns false or reading fails. It returns the
// read or parse error, or nil if handle returned false.
func ReadMessages(tcp net.Conn, response bool, handle func(m *http1.Message) bool) error {
	m := &http1.Message{}
	buffer := make([]byte, http1.MaxMessageBytes)
	var rest []byte
	for {
		rest = append([]byte(nil), rest...)
		m.Reset(buffer, response)
		complete, err := readMessage(tcp, m, rest)
		if err != nil && !complete {
			return err
		}
		if !complete || !handle(m) {
			return nil
		}
		rest = m.Rest()
	}
}

// readMessage reads one message. rest holds the bytes that were read after the end of the previous message.
func readMessage(tcp net.Conn, m *http1.Message, rest []byte) (complete bool, err error) {
	if n := copy(m.Space(), rest); n > 0 {
		complete, err = m.Advance(n)
	}
	for !complete && err == nil {
		var n int
		if n, err = tcp.Read(m.Space()); n > 0 {
			complete, err = m.Advance(n)
		}
	}
	return complete, err
}

// conn is a connection of a stand-in. Writes are queued and sent in order by a goroutine.
type conn struct {
	tcp    net.Conn
	writes chan write
	once   sync.Once // guards end
}

// write is a queued write. onPass is called once the bytes have passed the proxy, if there is one.
type write struct {
	bytes  []byte
	onPass func()
}

// newConn wraps a connection and starts its writer goroutine. It calls closed after the connection was closed.
func newConn(tcp net.Conn, closed func(*conn)) *conn {
	c := &conn{tcp: tcp, writes: make(chan write, pendingWrites)}
	go func() {
		defer closed(c)
		defer tcp.Close()
		for next := range c.writes {
			c.send(next)
		}
	}()
	return c
}

// send writes to the socket. On an error it closes the connection, and the remaining queued writes fail and are dropped.
func (c *conn) send(next write) {
	err := c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = c.tcp.Write(next.bytes)
	}
	if err != nil {
		c.tcp.Close()
		return
	}
	if next.onPass == nil {
		return
	}
	if passing, ok := c.tcp.(interface{ OnPass(done func()) }); ok {
		passing.OnPass(next.onPass)
	} else {
		next.onPass()
	}
}

// write queues bytes. It closes the connection if the queue is full because the peer does not read. Only the event loop's goroutine calls it.
func (c *conn) write(bytes []byte) { c.writeWithCallback(bytes, nil) }

// writeWithCallback queues bytes like write. onPass is called on another goroutine once the bytes have passed.
func (c *conn) writeWithCallback(bytes []byte, onPass func()) {
	defer func() { _ = recover() }() // writes was closed in the meantime, because the connection has ended
	select {
	case c.writes <- write{bytes: bytes, onPass: onPass}:
	default:
		c.tcp.Close()
	}
}

// end closes the connection after the queued writes were sent. With reset it closes the connection immediately, and the peer receives a TCP
// reset.
func (c *conn) end(reset bool) {
	c.once.Do(func() {
		if lingering, ok := c.tcp.(interface{ SetLinger(seconds int) error }); ok && reset {
			_ = lingering.SetLinger(0) // fails only if the connection is already closed
			c.tcp.Close()
		}
		close(c.writes)
	})
}

// listen accepts connections until the listener is closed and calls handle for each on its own goroutine.
func listen(address string, handle func(tcp net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			tcp, err := listener.Accept()
			if err == nil {
				go handle(tcp)
				continue
			}
			if !isTimeout(err) {
				return
			}
		}
	}()
	return listener, nil
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// field returns the value of the first header field with the given name, which is matched without regard to case, or "" if there is none.
func field(m *http1.Message, name string) string {
	for i := range m.FieldCount() {
		f := m.Field(i)
		if strings.EqualFold(string(f.Name), name) {
			return string(f.Value)
		}
	}
	return ""
}
