package eventqueue

import "math"

// Queue is a clock with the events that are yet to run. The zero Queue is empty and its clock stands at 0. It is not safe for
// concurrent use.
type Queue struct {
	now       float64
	scheduled uint64 // events ever scheduled; numbers those of one moment
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

// Now is the clock time in seconds.
func (q *Queue) Now() float64 { return q.now }

// Len is how many events are yet to run.
func (q *Queue) Len() int { return len(q.heap) }

// Schedule has callback run at a clock time in seconds. A time that has passed, or is not a number, counts as now.
func (q *Queue) Schedule(at float64, callback func()) {
	if at < q.now || math.IsNaN(at) {
		at = q.now
	}
	q.scheduled++
	q.push(event{time: at, sequence: q.scheduled, callback: callback})
}

// ScheduleAfter has callback run so many seconds from now.
func (q *Queue) ScheduleAfter(seconds float64, callback func()) { q.Schedule(q.now+seconds, callback) }

// NextTime is when the next event runs; ok is false where there is none.
func (q *Queue) NextTime() (at float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].time, true
}

// Run runs events in order until the clock stands at until, or Stop is called, or none is left.
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

// Stop ends Run after the event that is running.
func (q *Queue) Stop() { q.stopped = true }

// Stopped says whether Stop was called.
func (q *Queue) Stopped() bool { return q.stopped }
