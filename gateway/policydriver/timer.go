package policydriver

import "math"

// Timer is one of an API gateway's two timers: for Tick, or for RefreshMembership, whose rhythm is another. It holds the
// soonest time that was asked for.
type Timer struct {
	at float64 // clock time; 0: not set
}

// Due says whether the timer has run out.
func (t *Timer) Due(now float64) bool { return t.at > 0 && now >= t.at }

// Clear takes the timer back.
func (t *Timer) Clear() { t.at = 0 }

// Schedule asks for the timer to run out delay seconds from now at the latest. It gives the clock time at which it does, 0 for
// never, and whether that has changed.
func (t *Timer) Schedule(delay, now float64) (at float64, changed bool) {
	next := now + delay
	if t.at > 0 && t.at <= next || math.IsInf(next, 1) {
		return t.at, false
	}
	t.at = next
	return next, true
}
