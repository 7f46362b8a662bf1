package server

import (
	"context"
	"math"
	"slices"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/overload"
)

const (
	counterConnCount    = 8    // keeps the calls per connection few, as a broken connection fails all calls queued on it
	maxCallsPerConn     = 64   // maximum number of unanswered calls on a connection
	counterFirstBackoff = 0.01 // seconds before the first redial of a failed connection
	laggingTimeouts     = 3    // age of the oldest call, in call timeouts, from which a connection may count as lagging
)

// CounterOptions configure a CounterClient.
type CounterOptions struct {
	CallTimeout float64            // seconds after which a call is reported as timed out
	Backoffs    *overload.Backoffs // redial backoffs of its connections; nil: those of a single gateway
}

// CounterClient owns the connections to the counter service and the calls on them. Only the event loop may call it, except for
// Attempted. Replies arrive in the order of the calls on a connection. A call that timed out is reported as such, but keeps its
// place in that order. No call is sent twice, and calls on the same name receive their replies in order.
type CounterClient struct {
	ctx         context.Context
	group       *errgroup.Group
	loop        *EventLoop
	callTimeout float64 // seconds
	backoffs    *overload.Backoffs
	store       *StoreStream // non-nil if the quota store holds the counts instead of a counter service

	addr           string
	conns          []*counterConn
	retired        []*counterConn // connections to a former address, which finish their calls
	connsAttempted atomic.Int32   // connections whose first dial has finished

	routes         map[uint64]*nameRoute // by name
	pending        []*counterCall        // in the order in which they were made; reported calls are removed from the front
	refusedCalls   []*counterCall        // could not be made; reported after the current call to the policy returns
	freeCalls      []*counterCall        // for reuse
	newestAnswered float64               // clock time at which the most recent answered call was made
}

// nameRoute assigns the calls on one name to one connection, so that their replies stay in order.
type nameRoute struct {
	conn    *counterConn
	pending int // number of pending calls
}

// NewCounterClient returns a client without an address. Calls fail until UseAddress is called.
func NewCounterClient(ctx context.Context, group *errgroup.Group, loop *EventLoop, options CounterOptions) *CounterClient {
	return &CounterClient{
		ctx:         ctx,
		group:       group,
		loop:        loop,
		callTimeout: options.CallTimeout,
		backoffs:    options.Backoffs,
		routes:      map[uint64]*nameRoute{},
	}
}

// Attempted reports whether each connection was established or has failed once. It may be called from any goroutine.
func (c *CounterClient) Attempted() bool {
	if c.store != nil {
		return c.store.attempted.Load()
	}
	return int(c.connsAttempted.Load()) >= counterConnCount
}

// UseAddress switches to the counter at a new address; an empty address means that there is no counter. Connections to the former
// address accept calls until one to the new address is established, and close when they have no calls left.
func (c *CounterClient) UseAddress(addr string) {
	if addr == c.addr {
		return
	}
	for _, conn := range c.conns {
		conn.retire()
	}
	c.retired = append(c.retired, c.conns...)
	c.addr, c.conns = addr, nil
	for range counterConnCount {
		conn := newCounterConn(c, addr)
		c.conns = append(c.conns, conn)
		c.group.Go(conn.run)
	}
}

// closeRetired closes the connections to a former address once they have no calls and connections to the new address are
// established.
func (c *CounterClient) closeRetired() {
	if len(c.retired) == 0 {
		return
	}
	_, replaced := leastLoaded(c.conns)
	c.retired = slices.DeleteFunc(c.retired, func(conn *counterConn) bool { return conn.stopRetired(replaced) })
}

// closeLagging closes connections that no longer reply: the oldest call has been unanswered for three timeouts, and a call made
// well after it was answered on another connection. A busy name always has a pending call, so its calls would otherwise stay on
// such a connection until the connection counts as stalled.
func (c *CounterClient) closeLagging() {
	for _, conn := range c.conns {
		conn.closeIfLagging(c.loop.now, c.newestAnswered, c.callTimeout)
	}
}

// pickConn returns the connection for a name without pending calls, or nil if none is established.
func (c *CounterClient) pickConn() *counterConn {
	best, ok := leastLoaded(c.conns)
	if !ok {
		best, _ = leastLoaded(c.retired)
	}
	return best
}

// leastLoaded returns the established connection with the fewest unanswered calls, including those that timed out. It returns false
// if none is established.
func leastLoaded(conns []*counterConn) (best *counterConn, ok bool) {
	fewestCalls := math.MaxInt
	for _, conn := range conns {
		conn.mu.Lock()
		calls, connected := len(conn.unanswered), conn.connected
		conn.mu.Unlock()
		if connected && calls < fewestCalls {
			best, fewestCalls = conn, calls
		}
	}
	return best, best != nil
}
