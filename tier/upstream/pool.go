// Package upstream sends requests to hosts over connections of its own. Unlike the transport of net/http it never sends a
// request again by itself, and it tells whether any byte of a request may have reached the host.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout     = 900 * time.Millisecond
	standardIdle    = 4 * time.Second
	idleMargin      = 700 * time.Millisecond
	userTimeoutMS   = 4000
	readBufferBytes = 4 << 10
)

// ErrNotSent says that no byte of the request has left this process.
var ErrNotSent = errors.New("request was not sent")

// Conn is a connection to a host that carries one request at a time.
type Conn struct {
	socket    net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleFor   time.Duration
}

// Pool keeps idle connections to one address.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*Conn
	closed  bool
}

// NewPool makes a pool.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Close ends the idle connections; those in use end when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// Get takes an idle connection that is still good, or opens one. An error wraps ErrNotSent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		conn := p.takeIdle()
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < conn.idleFor && conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	setUserTimeout(socket)
	return &Conn{socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes)}, nil
}

func setUserTimeout(socket net.Conn) {
	tcp, isTCP := socket.(*net.TCPConn)
	if !isTCP {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
		})
	}
}

// Warm tells whether a connection is open and idle.
func (p *Pool) Warm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// takeIdle takes the connection that was used last.
func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

// Put gives a connection back after a whole answer, of which header is the head. It is closed unless it can carry another
// request; bytes behind an answer belong to none.
func (p *Pool) Put(conn *Conn, header http.Header, closing bool) {
	conn.idleFor = idleTime(header)
	if closing || conn.reader.Buffered() > 0 || conn.idleFor <= 0 {
		conn.Close()
		return
	}
	_ = conn.socket.SetDeadline(time.Time{}) // that of the last request would end the connection
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Sweep closes connections that have rested for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if time.Since(conn.idleSince) >= conn.idleFor {
			old = append(old, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// idleTime is how long a connection may rest before it is used again, by the answer's Keep-Alive.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return standardIdle
}

// quiet tells whether nothing has arrived on an idle connection, neither bytes nor its end.
func (c *Conn) quiet() bool {
	source, can := c.socket.(syscall.Conn)
	if !can {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		quiet = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.socket.Close() }

// Send writes a whole request.
func (c *Conn) Send(request []byte, deadline time.Time) error {
	_ = c.socket.SetDeadline(deadline)
	n, err := c.socket.Write(request)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// Receive reads the head of the answer; its body reads from the connection.
func (c *Conn) Receive(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}
