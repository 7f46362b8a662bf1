package sockets

// This file owns listeners and connections of the stand-ins: reading messages, writing in the background, resets.

import (
	"net"
	"sync"
	"time"

	"otterseam/gateway/http1"
)

// ReadMessages reads one message after another from a connection, until what comes makes no sense or is not wanted.
func ReadMessages(tcp net.Conn, response bool, each func(m *http1.Message) bool) error {
	m, room, rest := &http1.Message{}, make([]byte, http1.MaxMessageBytes), []byte(nil)
	for {
		rest = append([]byte(nil), rest...)
		m.Reset(room, response)
		n := copy(m.Space(), rest)
		whole, err := false, error(nil)
		if n > 0 {
			whole, err = m.Advance(n)
		}
		for !whole && err == nil {
			if n, err = tcp.Read(m.Space()); n > 0 {
				whole, err = m.Advance(n)
			}
		}
		if err != nil && !whole {
			return err
		}
		if !whole || !each(m) {
			return nil
		}
		rest = m.Rest()
	}
}

// conn is a connection of a stand-in. What is written goes out in order, in the background.
type conn struct {
	tcp  net.Conn
	out  chan piece
	once sync.Once
}

// piece is bytes to be written, and what is to be done once they have got through.
type piece struct {
	bytes   []byte
	through func()
}

func newConn(tcp net.Conn, gone func(*conn)) *conn {
	c := &conn{tcp: tcp, out: make(chan piece, 256)}
	go func() {
		defer gone(c)
		for p := range c.out {
			tcp.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := tcp.Write(p.bytes); err != nil {
				tcp.Close()
				continue
			}
			if p.through == nil {
				continue
			}
			if m, ok := tcp.(interface{ OnPass(func()) }); ok {
				m.OnPass(p.through)
			} else {
				p.through()
			}
		}
		tcp.Close()
	}()
	return c
}

// write hands bytes over; a connection whose other end reads nothing is closed. Only the pump's goroutine writes.
func (c *conn) write(b []byte) { c.writeThen(b, nil) }

// writeThen has through called, on another goroutine, once the bytes have got through.
func (c *conn) writeThen(b []byte, through func()) {
	defer func() { recover() }() // closed meanwhile
	select {
	case c.out <- piece{b, through}:
	default:
		c.tcp.Close()
	}
}

// end closes it; reset has the other end hear of it as a reset.
func (c *conn) end(reset bool) {
	c.once.Do(func() {
		if t, ok := c.tcp.(interface{ SetLinger(int) error }); ok && reset {
			t.SetLinger(0)
			c.tcp.Close()
		}
		close(c.out)
	})
}

// listen accepts connections on loopback until the listener is closed; each has a goroutine of its own.
func listen(addr string, each func(tcp net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			tcp, err := l.Accept()
			if err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					continue
				}
				return
			}
			go each(tcp)
		}
	}()
	return l, nil
}

// field is the value of a message's field, "" where it has none. The name is in small letters.
func field(m *http1.Message, name string) string {
	for _, f := range m.Fields {
		if len(f.Name) == len(name) && lower(f.Name) == name {
			return string(f.Value)
		}
	}
	return ""
}

func lower(b []byte) string {
	x := append([]byte(nil), b...)
	for i, c := range x {
		if c >= 'A' && c <= 'Z' {
			x[i] = c + 32
		}
	}
	return string(x)
}
