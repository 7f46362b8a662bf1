// Package upstream sends requests to hosts over connections of its own. Unlike the transport of net/http it never sends a
// request again by itself, and it tells whether any byte of a request may have reached the host. A connection has one owner at a
// time, which holds a Lease.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout   = 900 * time.Millisecond
	standardIdle  = 4 * time.Second
	idleMargin    = 700 * time.Millisecond
	userTimeoutMS = 4000
)

// ErrNotSent says that no byte of the request has left this process.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections to one address.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
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
		conn.close()
	}
}

// Acquire takes an idle connection that is still good, or opens one, for a request with such an id and the owner whose context it
// is: the connection ends with the context, unless it is given back before. An error wraps ErrNotSent.
func (p *Pool) Acquire(ctx context.Context, id string) (*Lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	for {
		conn := p.takeIdle(id)
		if conn == nil {
			break
		}
		if conn.usable() {
			return newLease(ctx, p, conn), nil
		}
		conn.close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	setUserTimeout(socket)
	return newLease(ctx, p, newConn(socket)), nil
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

// takeIdle takes the connection that was used last and has not carried a request with such an id.
func (p *Pool) takeIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if _, carried := conn.find(id); !carried {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// put takes a connection that no owner holds any more.
func (p *Pool) put(conn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Sweep closes connections that have rested for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if conn.rested() {
			old = append(old, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range old {
		conn.close()
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
