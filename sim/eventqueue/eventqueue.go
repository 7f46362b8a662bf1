// Package eventqueue owns the laboratory's clock and the queue of what is yet to happen. It knows nothing of what happens.
//
// Events at the same moment happen in the order in which they were put in, so that a day is the same each time it is
// played, on any machine.
package eventqueue

// Queue holds what is yet to happen. The zero Queue is empty and stands at clock time 0.
type Queue struct {
	now  float64
	put  uint64
	heap []entry
	done bool
	// Fired counts the events that have happened.
	Fired uint64
}

type entry struct {
	at   float64
	seq  uint64
	fire func()
}

// Now is the clock time in seconds.
func (q *Queue) Now() float64 { return q.now }

// Len is how many events are yet to happen.
func (q *Queue) Len() int { return len(q.heap) }

// Schedule has fire called at a clock time; one that has passed counts as now.
func (q *Queue) Schedule(at float64, fire func()) {
	if at < q.now || at != at {
		at = q.now
	}
	q.put++
	e, h := entry{at, q.put, fire}, append(q.heap, entry{})
	i := len(h) - 1
	for i > 0 { // four children a node: half the depth of two, and they lie beside each other
		up := (i - 1) / 4
		if !e.before(h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
	q.heap = h
}

// ScheduleAfter has fire called so many seconds from now.
func (q *Queue) ScheduleAfter(seconds float64, fire func()) { q.Schedule(q.now+seconds, fire) }

func (e entry) before(o entry) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// NextTime is when the next event happens; ok is false where there is none.
func (q *Queue) NextTime() (at float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Run lets events happen until the clock stands at until, or Stop is called, or none is left.
func (q *Queue) Run(until float64) {
	for !q.done && len(q.heap) > 0 && q.heap[0].at <= until {
		e := q.pop()
		q.now = e.at
		q.Fired++
		e.fire()
	}
	if !q.done && until > q.now {
		q.now = until
	}
}

// Stop ends Run after the event that is happening.
func (q *Queue) Stop() { q.done = true }

// Stopped says whether Stop was called.
func (q *Queue) Stopped() bool { return q.done }

func (q *Queue) pop() entry {
	h := q.heap
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = entry{}
	h = h[:len(h)-1]
	q.heap = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(h) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(h)); c++ {
			if h[c].before(h[least]) {
				least = c
			}
		}
		if !h[least].before(last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
