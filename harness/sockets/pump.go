// Package sockets lets a day be played in real time on loopback: hosts, counter and discovery of the laboratory's models
// answer behind listeners that speak the platform's protocol, and clients ask by its open-loop load. It must never listen
// on, or call, an address that isn't on this machine.
package sockets

import (
	"context"
	"time"

	"otterseam/sim/eventqueue"
)

// pump lets a day's events happen by the wall clock, all on one goroutine; what sockets bring comes in by Do.
type pump struct {
	q     *eventqueue.Queue
	in    chan func()
	start time.Time
	late  float64 // the most that an event came late, in seconds
	ended chan struct{}
}

func newPump(q *eventqueue.Queue) *pump {
	return &pump{q: q, in: make(chan func(), 4096), ended: make(chan struct{})}
}

// Do has f called on the pump's goroutine, at the present moment of the day; not after the end.
func (p *pump) Do(f func()) {
	select {
	case p.in <- f:
	case <-p.ended:
	}
}

// end lets those go who wait for a pump that does not run any more.
func (p *pump) end() { close(p.ended) }

func (p *pump) now() float64 { return time.Since(p.start).Seconds() }

// run plays until a clock time, or until ctx ends.
func (p *pump) run(ctx context.Context, until float64) {
	p.start = time.Now()
	p.resume(ctx, until)
}

// resume goes on by the clock as it is.
func (p *pump) resume(ctx context.Context, until float64) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := p.now()
		if at, ok := p.q.NextTime(); ok && at < now {
			p.late = max(p.late, now-at)
		}
		p.q.Run(now)
		if now >= until || p.q.Stopped() {
			return
		}
		wait := until - now
		if at, ok := p.q.NextTime(); ok {
			wait = min(wait, at-p.now())
		}
		timer.Reset(time.Duration(max(0, wait) * 1e9))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case f := <-p.in:
			p.q.Run(p.now())
			f()
			for n := len(p.in); n > 0; n-- {
				(<-p.in)()
			}
		}
	}
}
