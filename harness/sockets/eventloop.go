package sockets

import (
	"context"
	"time"

	"otterseam/sim/eventqueue"
)

// pendingCalls is how many calls of Do may wait before further callers do.
const pendingCalls = 4096

// eventLoop has the events of a queue happen by the wall clock, all on one goroutine. What comes from sockets enters by Do.
type eventLoop struct {
	queue       *eventqueue.Queue
	calls       chan func()
	ended       chan struct{}
	start       time.Time
	maxLateness float64 // the most that an event came late, in seconds
}

func newEventLoop(queue *eventqueue.Queue) *eventLoop {
	return &eventLoop{queue: queue, calls: make(chan func(), pendingCalls), ended: make(chan struct{})}
}

// Do has a function called on the loop's goroutine, at the present moment of the scenario. After end it isn't called.
func (l *eventLoop) Do(call func()) {
	select {
	case l.calls <- call:
	case <-l.ended:
	}
}

// end releases those who wait in Do for a loop that no longer runs.
func (l *eventLoop) end() { close(l.ended) }

// now is the time of the scenario in seconds.
func (l *eventLoop) now() float64 { return time.Since(l.start).Seconds() }

// run starts the clock at 0 and plays until a time of the scenario, or until ctx ends.
func (l *eventLoop) run(ctx context.Context, until float64) {
	l.start = time.Now()
	l.resume(ctx, until)
}

// resume goes on with the clock as it is.
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

// drainCalls carries out the calls that wait at this moment.
func (l *eventLoop) drainCalls() {
	for n := len(l.calls); n > 0; n-- {
		call := <-l.calls
		call()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }
