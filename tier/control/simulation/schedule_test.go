package simulation

import (
	"container/heap"
)

const (
	runLength           = 34_000 // milliseconds
	tickInterval        = 40
	heartbeatInterval   = 300
	hostCount           = 4
	storeCount          = 2
	subscriberCount     = 6
	firstChangeAt       = 600
	registrationTimeout = 1200 // within which an acknowledged host has to be registered
	settleTime          = 4000 // without a change to the network, after which changes to the configuration must be accepted
	changeTimeout       = 2500 // within which a connected majority has to accept a change to the configuration
)

// event is work that is scheduled for a time.
type event struct {
	at       int64
	sequence int // orders events of the same time
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *sim) after(delay int64, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{s.now + delay, s.lastSequence, run})
}

func (s *sim) every(interval int64, run func()) {
	s.after(s.random.Int63n(interval)+1, func() {
		run()
		s.repeat(interval, run)
	})
}

func (s *sim) repeat(interval int64, run func()) {
	s.after(interval, func() {
		run()
		s.repeat(interval, run)
	})
}

// play runs the events up to and including the time until.
func (s *sim) play(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		event := heap.Pop(&s.queue).(event)
		s.now = event.at
		s.digest.add(event)
		event.run()
	}
	s.now = until
}
