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
	dialTimeout = 900 * time.Millisecond
	// defaultIdleTimeout is how long a connection may stay idle and still be reused if the host sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the host's idle timeout a connection is no longer reused.
	idleMargin = 700 * time.Millisecond
	// tcpUserTimeoutMS is how long sent bytes may stay unacknowledged before the kernel closes a connection (TCP_USER_TIMEOUT).
	tcpUserTimeoutMS = 4000
	// receiveBufferBytes is the size of the receive buffer of a connection, in which the kernel holds what has not been read yet.
	receiveBufferBytes = 128 << 10
)

// Pool opens connections to one address and keeps the idle ones for reuse.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// NewPool returns an empty pool for an address.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Close closes the idle connections. A connection in use is closed when its lease ends.
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

// Acquire returns a lease on an idle connection that is still usable, or on a new one, for a request with the given ID. If ctx ends
// before the lease does, the connection is closed. Each error wraps ErrNotSent.
func (p *Pool) Acquire(ctx context.Context, id string) (*Lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	for {
		conn := p.takeIdle(id)
		if conn == nil {
			break
		}
		if conn.isReusable() {
			return newLease(ctx, p, conn), nil
		}
		conn.close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	setSocketOptions(socket)
	return newLease(ctx, p, newConn(socket)), nil
}

func setSocketOptions(socket net.Conn) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(receiveBufferBytes)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMS)
		})
	}
}

// HasIdle reports whether the pool holds an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// takeIdle removes and returns the most recently used idle connection that has not carried a request with the given ID, or nil.
func (p *Pool) takeIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if _, carried := conn.findRequest(id); !carried {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// release returns a connection whose lease has ended to the pool, or closes it if the pool is closed.
func (p *Pool) release(conn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
}

// CloseExpired closes the connections whose idle timeout has passed, and those on which the host has sent something, which would stay in the
// kernel's memory.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if conn.idleExpired() || !conn.hasNoInput() {
			expired = append(expired, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// keepAliveTimeout returns how long a connection may stay idle and be reused, according to the Keep-Alive header of its last response.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
