package overload

// This file owns how many calls to the counter one api gateway makes. It must never know what a call is for.

import "math"

// CallLimiter paces calls to the counter. Guards against one that is slow, silent, refusing or too small: calls a second follow the
// time of its answers, and fall once for a jam, so that all share what there is. The few still made are trials.
type CallLimiter struct {
	Rate              float64 // that may be made a second
	Tokens, UpdatedAt float64 // how many may be made now, as of then
	present           bool    // there is a counter
	limit             float64 // seconds until a call is given up
	deniedAt          float64 // when one was last wanted and not made
	lateAt            float64 // when the rate was last cut
	Limited           bool    // one was denied of late
}

// NewCallLimiter paces calls that are given up after limit seconds; present: there is a counter.
func NewCallLimiter(present bool, limit float64) CallLimiter {
	return CallLimiter{Rate: 32, Tokens: 8, deniedAt: math.Inf(-1), present: present, limit: limit}
}

// May says whether a call may be made; least is how much room it needs, less than 1 for one that is lent.
func (c *CallLimiter) Allows(now, least float64) bool {
	c.Tokens = min(max(1, c.Rate/8), c.Tokens+c.Rate*(now-c.UpdatedAt))
	if c.UpdatedAt = now; c.Tokens < least {
		c.deniedAt = now
	}
	return c.present && c.Tokens >= least
}

// CallEnded: a call was answered, or lost, after so many seconds; live is by how many api gateways the counter is shared. It says
// whether calls have begun to be denied, or are no longer.
func (c *CallLimiter) CallEnded(now, live float64, answered, lost bool, took float64) (news bool) {
	if lost && now-c.lateAt > c.limit { // once a jam
		c.Rate, c.lateAt = 0.8*c.Rate, now
	} else if answered && (took > 0.4*c.limit || c.Tokens < c.Rate/10) {
		c.Rate += 0.05 + (0.7+0.03*c.Rate)*(0.4-took/c.limit)
	}
	c.Rate = min(2000, max(c.Rate, 0.3+60/live))
	if now-c.deniedAt < 2 == c.Limited {
		return false
	}
	c.Limited = !c.Limited
	return true
}
