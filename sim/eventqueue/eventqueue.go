package eventqueue

import "math"

// Queue is a clock with the pending events. The zero Queue is empty and its clock is at 0. It is not safe for concurrent use.
type Queue struct {
	now       float64
	scheduled uint64 // number of events ever scheduled; orders events of the same time
	heap      []event
	stopped   bool
	// Fired counts the events that have run.
	Fired uint64
}

type event struct {
	time     float64
	sequence uint64
	callback func()
}

// before orders events by time, then by the order in which they were scheduled.
func (e event) before(other event) bool {
	return e.time < other.time || e.time == other.time && e.sequence < other.sequence
}

// Now returns the clock time in seconds.
func (q *Queue) Now() float64 { return q.now }

// Len returns the number of pending events.
func (q *Queue) Len() int { return len(q.heap) }

// Schedule schedules callback at a clock time in seconds. A time in the past, or NaN, is treated as now.
func (q *Queue) Schedule(at float64, callback func()) {
	if at < q.now || math.IsNaN(at) {
		at = q.now
	}
	q.scheduled++
	q.push(event{time: at, sequence: q.scheduled, callback: callback})
}

// ScheduleAfter schedules callback the given number of seconds from now.
func (q *Queue) ScheduleAfter(seconds float64, callback func()) { q.Schedule(q.now+seconds, callback) }

// NextTime returns the time of the next event. ok is false if there is none.
func (q *Queue) NextTime() (at float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].time, true
}

// Run runs the events due up to the clock time until in order, and then advances the clock to until. It returns early if Stop is called.
func (q *Queue) Run(until float64) {
	for !q.stopped && len(q.heap) > 0 && q.heap[0].time <= until {
		next := q.pop()
		q.now = next.time
		q.Fired++
		next.callback()
	}
	if !q.stopped && until > q.now {
		q.now = until
	}
}

// Stop makes Run return after the running event.
func (q *Queue) Stop() { q.stopped = true }

// Stopped reports whether Stop was called.
func (q *Queue) Stopped() bool { return q.stopped }
