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

// ReadMessages reads one HTTP message after another from a connection and calls each, until that returns false or what comes is no
// message. It returns why reading ended, nil if each did.
func ReadMessages(tcp net.Conn, response bool, each func(m *http1.Message) bool) error {
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
		if !complete || !each(m) {
			return nil
		}
		rest = m.Rest()
	}
}

// readMessage reads one message; rest is what came behind the one before it.
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

// conn is a connection of a stand-in. What is written goes out in order, in the background.
type conn struct {
	tcp    net.Conn
	writes chan write
	once   sync.Once // end
}

// write is bytes to send, and what is to be done once they have passed.
type write struct {
	bytes  []byte
	onPass func()
}

// newConn takes over a connection; closed is called once it has been closed.
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

// send writes to the socket; on an error it closes the connection, and what waits is read and dropped.
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

// write hands bytes over; a connection whose other end reads nothing is closed. Only the event loop's goroutine writes.
func (c *conn) write(bytes []byte) { c.writeThen(bytes, nil) }

// writeThen has onPass called, on another goroutine, once the bytes have passed.
func (c *conn) writeThen(bytes []byte, onPass func()) {
	defer func() { _ = recover() }() // writes was closed meanwhile: the connection has ended
	select {
	case c.writes <- write{bytes: bytes, onPass: onPass}:
	default:
		c.tcp.Close()
	}
}

// end closes the connection once all that waits has been written; with reset it does at once, and the other end sees a reset.
func (c *conn) end(reset bool) {
	c.once.Do(func() {
		if lingering, ok := c.tcp.(interface{ SetLinger(seconds int) error }); ok && reset {
			_ = lingering.SetLinger(0) // fails only if closed already
			c.tcp.Close()
		}
		close(c.writes)
	})
}

// listen accepts connections until the listener is closed; each is handled on a goroutine of its own.
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

// field is the value of a message's first field of a name, in small letters; "" where it has none.
func field(m *http1.Message, name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(string(f.Name), name) {
			return string(f.Value)
		}
	}
	return ""
}
