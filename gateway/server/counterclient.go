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
	counterConnCount    = 8    // few calls on each: one that breaks takes all behind it with it
	maxCallsPerConn     = 64   // unanswered on one connection
	counterFirstBackoff = 0.01 // seconds before a failed connection is dialed again, the first time
	overtakenTimeouts   = 3    // call time-outs after which a connection that others overtook is closed
)

// CounterOptions are what a CounterClient is made from.
type CounterOptions struct {
	CallTimeout float64            // seconds after which a call is reported as timed out
	Backoffs    *overload.Backoffs // of its connections; nil: as of one gateway alone
}

// CounterClient owns the connections to the counter service and the calls on them. It belongs to the event loop, which alone may
// call it, Attempted apart. Answers come in the order of the calls of a connection; a call that timed out is reported as such and
// keeps only its place in that order. No call is made twice, and calls on one name are answered in their order.
type CounterClient struct {
	ctx         context.Context
	group       *errgroup.Group
	loop        *EventLoop
	callTimeout float64 // seconds
	backoffs    *overload.Backoffs
	store       *StoreStream // the quota store holds the counts; nil: a counter service does

	addr           string
	conns          []*counterConn
	retired        []*counterConn // to an address that is no longer used: they finish the calls on them
	connsAttempted atomic.Int32   // connections whose first attempt is over

	routes         map[uint64]*nameRoute // by name
	pending        []*counterCall        // as they were made; those reported leave from the front
	refusedCalls   []*counterCall        // could not be made; reported after the present call of the policy
	freeCalls      []*counterCall        // to be used again
	newestAnswered float64               // clock time at which the newest call that has its answer was made
}

// nameRoute keeps the calls on one name on one connection, so that their answers keep their order.
type nameRoute struct {
	conn    *counterConn
	pending int // calls
}

// NewCounterClient makes a client without an address: no call can be made.
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

// Attempted says whether each connection has come up or failed once. It may be called from any goroutine.
func (c *CounterClient) Attempted() bool {
	if c.store != nil {
		return c.store.attempted.Load()
	}
	return int(c.connsAttempted.Load()) >= counterConnCount
}

// UseAddress has the counter at an address from now on; without one there is no counter. Connections to the address before take
// calls until one to the new address stands, and end when no call is left on them.
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

// closeRetired ends the connections to an address that is no longer used once they have no call and others stand.
func (c *CounterClient) closeRetired() {
	if len(c.retired) == 0 {
		return
	}
	_, replaced := leastLoaded(c.conns)
	c.retired = slices.DeleteFunc(c.retired, func(conn *counterConn) bool { return conn.stopRetired(replaced) })
}

// closeOvertaken ends connections that fell silent: their oldest call has been unanswered for three time-outs, and one made well
// after it was answered on another. A name whose calls all go to such a connection would stay there until the connection is given
// up for its age alone, as a busy name never has a moment without a call.
func (c *CounterClient) closeOvertaken() {
	for _, conn := range c.conns {
		conn.closeIfOvertaken(c.loop.now, c.newestAnswered, c.callTimeout)
	}
}

// pickConn is the connection for a name that has no call on any; nil: none stands.
func (c *CounterClient) pickConn() *counterConn {
	best, ok := leastLoaded(c.conns)
	if !ok {
		best, _ = leastLoaded(c.retired)
	}
	return best
}

// leastLoaded is the connection with the fewest unanswered calls, those timed out counted; false: none stands.
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
