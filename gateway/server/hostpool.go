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
	maxIdleShare           = 0.6  // of a host's idle time-out: an idle connection is closed well before its host would
	idleSweepInterval      = 0.5  // seconds
	hostRequestQueue       = 2    // one request and the end
)

// HostPoolOptions are what a HostPool is made from.
type HostPoolOptions struct {
	MaxConns       int     // connections to all hosts, those being dialed counted
	ConnectTimeout float64 // seconds; not above 0: defaultConnectTimeout
	IdleTimeout    float64 // seconds after which hosts close an idle connection; not above 0: defaultHostIdleTimeout
}

// HostPool owns the connections to hosts, one delivery on each at a time, and the deliveries that wait for one. It belongs to the
// event loop, which alone may call it; a connection's own goroutines touch only what hostConn says. It chooses no host and sends
// no delivery twice.
type HostPool struct {
	ctx       context.Context
	group     *errgroup.Group
	loop      *EventLoop
	buffers   *BufferPool
	connect   func(ctx context.Context, network, addr string) (net.Conn, error)
	maxIdle   float64 // seconds
	maxConns  int
	open      int // connections, those being dialed counted
	byID      map[string]*host
	inOrder   []*host // as they were first listed
	nextSweep float64 // clock time
}

// host is one that may be sent deliveries, with its connections that have none.
type host struct {
	id, addr string
	active   bool        // it takes new deliveries
	idle     []*hostConn // the one used last comes last
	waiting  []*delivery // for a connection
	dialing  int         // connections on their way
}

// NewHostPool makes a pool without hosts.
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

// UpdateHost takes over what discovery says of a host: where it is, and whether it takes new work. Its connections know their
// host and their address themselves, so that one listed under another id at the same address is another host.
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
	for len(h.waiting) > 0 { // nothing new goes to a host that leaves
		p.withdraw(h.waiting[0], policy.TimedOut)
	}
	if !active { // forgotten, else the list would grow with every host that ever was
		delete(p.byID, id)
		p.inOrder = slices.DeleteFunc(p.inOrder, func(other *host) bool { return other == h })
	}
}

// KeepOnly lets only the hosts of a complete list stay active.
func (p *HostPool) KeepOnly(listed map[string]bool) {
	for _, h := range slices.Clone(p.inOrder) {
		if !listed[h.id] {
			p.UpdateHost(h.id, h.addr, false)
		}
	}
}

// dial begins a connection to a host. The goroutine that dials then reads on it until it is closed.
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
		p.withdraw(h.waiting[0], policy.NoConnection)
	}
}

func (p *HostPool) dialed(c *hostConn) {
	c.host.dialing--
	p.nextDelivery(c)
}

// dialForWaiting dials for deliveries that wait while fewer connections are on their way.
func (p *HostPool) dialForWaiting(h *host) {
	for h.active && h.dialing < len(h.waiting) && p.open < p.maxConns {
		p.dial(h)
	}
}

// closeLongestIdle makes room for a new connection; false: no connection is idle.
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

// closeIdle closes connections that have been idle for long.
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
