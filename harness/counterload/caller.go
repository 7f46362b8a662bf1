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
	maxInFlight   = 4096 // calls on one connection
	dialTimeout   = time.Second
	redialDelay   = 20 * time.Millisecond
	answerTimeout = 5 * time.Second // for answers after the last call
	maxAmount     = 9
	hotKeyShare   = 3 // one in so many calls is for the hot key
)

// caller has one connection after another.
type caller struct {
	load          *Load
	recorder      *recorder
	address       string
	number, count int // of the callers
	interval      time.Duration
	begin         time.Time
	random        *rand.Rand
	made          int // calls that were due
}

// call is one in flight.
type call struct {
	due    time.Time
	key    string
	amount float64
}

func (c *caller) run(ctx context.Context) {
	end := c.begin.Add(c.load.Duration)
	for ctx.Err() == nil && time.Now().Before(end) {
		tcp, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			time.Sleep(redialDelay)
			c.skip()
			continue
		}
		c.converse(ctx, tcp, end)
	}
}

// skip lets calls that could not be made go by.
func (c *caller) skip() {
	for c.due().Before(time.Now().Add(-redialDelay)) {
		c.made++
		c.recorder.skipped()
	}
}

// due is when the next call is.
func (c *caller) due() time.Time { return c.begin.Add(time.Duration(c.made) * c.interval) }

// converse calls on one connection until it or the time ends.
func (c *caller) converse(ctx context.Context, tcp net.Conn, end time.Time) {
	inFlight := make(chan call, maxInFlight)
	readerDone := make(chan bool)
	go func() {
		defer close(readerDone)
		c.readAnswers(tcp, inFlight)
	}()
	c.sendCalls(ctx, tcp, end, inFlight, readerDone)
	close(inFlight)
	select {
	case <-readerDone:
	case <-time.After(answerTimeout):
	}
	tcp.Close()
	<-readerDone
	for left := range inFlight {
		c.recorder.broken(left)
	}
}

func (c *caller) sendCalls(ctx context.Context, tcp net.Conn, end time.Time, inFlight chan<- call, readerDone <-chan bool) {
	w := bufio.NewWriter(tcp)
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
		next := c.next(due)
		select {
		case inFlight <- next:
			fmt.Fprint(w, addRequest(next.key, next.amount))
		case <-readerDone:
			return
		}
	}
}

// next draws a call.
func (c *caller) next(due time.Time) call {
	l := c.load
	next := call{due, fmt.Sprintf("%s%d", l.Prefix, c.random.IntN(l.Keys)), float64(1 + c.random.IntN(maxAmount))}
	if l.RoundRobin {
		next.key = fmt.Sprintf("%s%d", l.Prefix, (c.made*c.count+c.number)%l.Keys)
	}
	if l.HotKey && c.random.IntN(hotKeyShare) == 0 {
		next.key = l.Prefix + "0"
	}
	c.made++
	return next
}

// readAnswers reads the answers, which come in the order of the calls.
func (c *caller) readAnswers(tcp net.Conn, inFlight <-chan call) {
	r := bufio.NewReader(tcp)
	for next := range inFlight {
		answer, err := readAnswer(r)
		if err != nil {
			c.recorder.broken(next)
			return
		}
		c.recorder.answered(next, answer.status, time.Now())
	}
}
