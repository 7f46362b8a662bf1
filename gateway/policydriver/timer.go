package policydriver

import "math"

// Timer is a timer for calls of Tick or of RefreshMembership. It holds the soonest time that was requested.
type Timer struct {
	at float64 // clock time; 0: not set
}

// Due reports whether the timer has expired.
func (t *Timer) Due(now float64) bool { return t.at > 0 && now >= t.at }

// Clear unsets the timer.
func (t *Timer) Clear() { t.at = 0 }

// Schedule makes the timer expire at most delay seconds from now. It returns the clock time of the expiry, or 0 if the timer is
// not set, and whether that has changed.
func (t *Timer) Schedule(delay, now float64) (at float64, changed bool) {
	next := now + delay
	if t.at > 0 && t.at <= next || math.IsInf(next, 1) {
		return t.at, false
	}
	t.at = next
	return next, true
}
