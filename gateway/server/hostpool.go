package server

import (
	"context"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/policy"
)

const (
	defaultConnectTimeout  = 1.0  // seconds
	defaultHostIdleTimeout = 10.0 // seconds
	maxIdleShare           = 0.6  // of a host's idle timeout, so that an idle connection is closed well before the host closes it
	idleSweepInterval      = 0.5  // seconds
	hostRequestQueue       = 2    // one request and the final nil
)

// HostPoolOptions configure a HostPool.
type HostPoolOptions struct {
	MaxConns       int     // maximum number of connections to all hosts, including those being dialed
	ConnectTimeout float64 // seconds; defaultConnectTimeout if not positive
	IdleTimeout    float64 // seconds after which hosts close an idle connection; defaultHostIdleTimeout if not positive
}

// HostPool owns the connections to hosts, with one delivery on each at a time, and the deliveries that wait for a connection. Only
// the event loop may call it. The goroutines of a connection use only the fields that hostConn documents for them. The pool does
// not choose hosts, and sends no delivery twice.
type HostPool struct {
	ctx       context.Context
	group     *errgroup.Group
	loop      *EventLoop
	buffers   *BufferPool
	connect   func(ctx context.Context, network, addr string) (net.Conn, error)
	maxIdle   float64 // seconds
	maxConns  int
	open      int // number of connections, including those being dialed
	byID      map[string]*host
	inOrder   []*host // in the order in which they were first listed
	nextSweep float64 // clock time
}

// host is a host that may receive deliveries, with its idle connections.
type host struct {
	id, addr string
	active   bool        // it accepts new deliveries
	idle     []*hostConn // most recently used last
	waiting  []*delivery // deliveries that wait for a connection
	dialing  int         // number of connections being dialed
}

// NewHostPool returns a pool without hosts.
func NewHostPool(ctx context.Context, group *errgroup.Group, loop *EventLoop, buffers *BufferPool, options HostPoolOptions) *HostPool {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultHostIdleTimeout
	}
	dialer := net.Dialer{Timeout: time.Duration(options.ConnectTimeout * float64(time.Second)), KeepAlive: -1}
	return &HostPool{
		ctx:      ctx,
		group:    group,
		loop:     loop,
		buffers:  buffers,
		connect:  dialer.DialContext,
		maxIdle:  maxIdleShare * options.IdleTimeout,
		maxConns: options.MaxConns,
		byID:     map[string]*host{},
	}
}

// UpdateHost applies what discovery reports about a host: its address, and whether it accepts new work. A connection stores its own
// host and address, so that a host listed under another ID at the same address counts as a different host.
func (p *HostPool) UpdateHost(id, addr string, active bool) {
	h := p.byID[id]
	if h == nil {
		if !active {
			return
		}
		h = &host{id: id}
		p.byID[id] = h
		p.inOrder = append(p.inOrder, h)
	}
	moved := h.addr != addr
	h.addr, h.active = addr, active
	if active && !moved {
		return
	}
	for _, c := range h.idle {
		c.abandon()
	}
	h.idle = nil
	for len(h.waiting) > 0 { // no new work is sent to a leaving host
		p.cancel(h.waiting[0], policy.TimedOut)
	}
	if !active { // deleted, as the list would otherwise grow with every host that ever existed
		delete(p.byID, id)
		p.inOrder = slices.DeleteFunc(p.inOrder, func(other *host) bool { return other == h })
	}
}

// KeepOnly deactivates all hosts that are not in a complete list.
func (p *HostPool) KeepOnly(listed map[string]bool) {
	for _, h := range slices.Clone(p.inOrder) {
		if !listed[h.id] {
			p.UpdateHost(h.id, h.addr, false)
		}
	}
}

// dial starts to connect to a host. The goroutine that dials becomes the connection's reader.
func (p *HostPool) dial(h *host) {
	h.dialing++
	p.open++
	p.loop.policy.DialStarted(p.loop.now)
	addr := h.addr
	p.group.Go(func() error {
		tcp, err := p.connect(p.ctx, "tcp", addr)
		if err != nil {
			p.loop.post(p.ctx, func() { p.dialFailed(h) })
			return nil
		}
		c := &hostConn{pool: p, host: h, addr: addr, tcp: tcp, requests: make(chan *Buffer, hostRequestQueue)}
		if c.raw, err = rawConnOf(tcp); err != nil {
			tcp.Close()
			p.loop.post(p.ctx, func() { p.dialFailed(h) })
			return nil
		}
		c.onEnded = c.deliveryEnded
		p.group.Go(func() error {
			c.writeLoop()
			return nil
		})
		p.loop.post(p.ctx, func() { p.dialed(c) })
		c.readLoop()
		return nil
	})
}

func (p *HostPool) dialFailed(h *host) {
	h.dialing--
	p.open--
	if len(h.waiting) > h.dialing {
		p.cancel(h.waiting[0], policy.NoConnection)
	}
}

func (p *HostPool) dialed(c *hostConn) {
	c.host.dialing--
	p.nextDelivery(c)
}

// dialForWaiting dials until there are as many pending dials as waiting deliveries.
func (p *HostPool) dialForWaiting(h *host) {
	for h.active && h.dialing < len(h.waiting) && p.open < p.maxConns {
		p.dial(h)
	}
}

// closeLongestIdle closes the connection that has been idle longest, to make room for a new one. It returns false if no connection
// is idle.
func (p *HostPool) closeLongestIdle() bool {
	var longest *host
	for _, h := range p.inOrder {
		if len(h.idle) > 0 && (longest == nil || h.idle[0].idleSince < longest.idle[0].idleSince) {
			longest = h
		}
	}
	if longest == nil {
		return false
	}
	longest.idle[0].abandon()
	longest.idle = longest.idle[1:]
	return true
}

// closeIdle closes connections that have been idle for longer than maxIdle.
func (p *HostPool) closeIdle() {
	now := p.loop.now
	if now < p.nextSweep {
		return
	}
	p.nextSweep = now + idleSweepInterval
	for _, h := range p.inOrder {
		for len(h.idle) > 0 && now-h.idle[0].idleSince > p.maxIdle {
			h.idle[0].abandon()
			h.idle = h.idle[1:]
		}
	}
}
