package counterload

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	maxInFlight     = 4096 // calls per connection
	dialTimeout     = time.Second
	redialDelay     = 20 * time.Millisecond
	responseTimeout = 5 * time.Second // wait for outstanding responses after the last call
	maxAmount       = 9
	hotKeyShare     = 3 // one in hotKeyShare calls, on average, goes to the hot key
)

// caller sends calls at a fixed interval over one connection at a time and reconnects when the connection fails.
type caller struct {
	load           *Load
	recorder       *recorder
	address        string
	index, callers int // index of this caller and number of all callers
	interval       time.Duration
	begin          time.Time
	random         *rand.Rand
	scheduled      int // calls made or skipped so far
}

// call is a request in flight.
type call struct {
	due    time.Time
	key    string
	amount float64
}

func (c *caller) run(ctx context.Context) {
	end := c.begin.Add(c.load.Duration)
	for ctx.Err() == nil && time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			time.Sleep(redialDelay)
			c.skipOverdue()
			continue
		}
		c.runConnection(ctx, conn, end)
	}
}

// skipOverdue records the calls that are overdue by more than redialDelay as skipped.
func (c *caller) skipOverdue() {
	for c.due().Before(time.Now().Add(-redialDelay)) {
		c.scheduled++
		c.recorder.recordSkipped()
	}
}

// due returns the time at which the next call is due.
func (c *caller) due() time.Time { return c.begin.Add(time.Duration(c.scheduled) * c.interval) }

// runConnection sends calls on one connection until the connection fails, the load ends or ctx is canceled. Calls still without
// a response are recorded as broken.
func (c *caller) runConnection(ctx context.Context, conn net.Conn, end time.Time) {
	inFlight := make(chan call, maxInFlight)
	readerDone := make(chan bool)
	go func() {
		defer close(readerDone)
		c.readResponses(conn, inFlight)
	}()
	c.sendCalls(ctx, conn, end, inFlight, readerDone)
	close(inFlight)
	select {
	case <-readerDone:
	case <-time.After(responseTimeout):
	}
	conn.Close()
	<-readerDone
	for pending := range inFlight {
		c.recorder.recordBroken(pending)
	}
}

func (c *caller) sendCalls(ctx context.Context, conn net.Conn, end time.Time, inFlight chan<- call, readerDone <-chan bool) {
	w := bufio.NewWriter(conn)
	defer w.Flush()
	for {
		due := c.due()
		if !due.Before(end) || ctx.Err() != nil {
			return
		}
		if wait := time.Until(due); wait > 0 {
			if w.Flush() != nil {
				return
			}
			time.Sleep(wait)
		}
		next := c.nextCall(due)
		select {
		case inFlight <- next:
			fmt.Fprint(w, addRequest(next.key, next.amount))
		case <-readerDone:
			return
		}
	}
}

// nextCall returns the next call, with a random amount and a key chosen as the load configures.
func (c *caller) nextCall(due time.Time) call {
	l := c.load
	next := call{due, fmt.Sprintf("%s%d", l.Prefix, c.random.IntN(l.Keys)), float64(1 + c.random.IntN(maxAmount))}
	if l.RoundRobin {
		next.key = fmt.Sprintf("%s%d", l.Prefix, (c.scheduled*c.callers+c.index)%l.Keys)
	}
	if l.HotKey && c.random.IntN(hotKeyShare) == 0 {
		next.key = l.Prefix + "0"
	}
	c.scheduled++
	return next
}

// readResponses reads the responses, which arrive in the order of the calls.
func (c *caller) readResponses(conn net.Conn, inFlight <-chan call) {
	r := bufio.NewReader(conn)
	for next := range inFlight {
		response, err := readResponse(r)
		if err != nil {
			c.recorder.recordBroken(next)
			return
		}
		c.recorder.recordResponse(next, response.status, time.Now())
	}
}
