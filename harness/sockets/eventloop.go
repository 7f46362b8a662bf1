package sockets

import (
	"context"
	"time"

	"otterseam/sim/eventqueue"
)

// pendingCalls is the number of calls that Do queues before its callers block.
const pendingCalls = 4096

// eventLoop runs the events of a queue at their times on the wall clock, all on one goroutine. Goroutines that serve sockets use Do to run
// functions on it.
type eventLoop struct {
	queue       *eventqueue.Queue
	calls       chan func()
	ended       chan struct{}
	start       time.Time
	maxLateness float64 // largest delay of an event, in seconds
}

func newEventLoop(queue *eventqueue.Queue) *eventLoop {
	return &eventLoop{queue: queue, calls: make(chan func(), pendingCalls), ended: make(chan struct{})}
}

// Do queues a function that the loop's goroutine calls at the current time of the scenario. After end it does nothing.
func (l *eventLoop) Do(call func()) {
	select {
	case l.calls <- call:
	case <-l.ended:
	}
}

// end unblocks callers of Do after the loop has stopped.
func (l *eventLoop) end() { close(l.ended) }

// now returns the time of the scenario in seconds.
func (l *eventLoop) now() float64 { return time.Since(l.start).Seconds() }

// run sets the clock to 0 and runs events until a time of the scenario or until ctx is done.
func (l *eventLoop) run(ctx context.Context, until float64) {
	l.start = time.Now()
	l.resume(ctx, until)
}

// resume runs events like run but does not reset the clock.
func (l *eventLoop) resume(ctx context.Context, until float64) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := l.now()
		if next, ok := l.queue.NextTime(); ok && next < now {
			l.maxLateness = max(l.maxLateness, now-next)
		}
		l.queue.Run(now)
		if now >= until || l.queue.Stopped() {
			return
		}
		wait := until - now
		if next, ok := l.queue.NextTime(); ok {
			wait = min(wait, next-l.now())
		}
		timer.Reset(seconds(max(0, wait)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case call := <-l.calls:
			l.queue.Run(l.now())
			call()
			l.drainCalls()
		}
	}
}

// drainCalls runs the calls that are queued when it starts.
func (l *eventLoop) drainCalls() {
	for n := len(l.calls); n > 0; n-- {
		call := <-l.calls
		call()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }
