package overload

import "math"

const (
	// initialCallRate and maxCallRate bound the calls a second of one gateway to the counter.
	initialCallRate = 32
	maxCallRate     = 2000
	initialTokens   = 8
	// burstSeconds is for how long calls at the present rate may be saved up.
	burstSeconds = 1.0 / 8
	// rateDecrease is what is left of the rate after a lost call.
	rateDecrease = 0.8
	// latencyTarget is the answer time below which the rate grows, as a part of the call's time limit.
	latencyTarget = 0.4
	// limitedFor is for how long after a denied call the limiter counts as limiting, in seconds.
	limitedFor = 2
)

// CallLimiter paces the calls of one gateway to the quota counter: a token bucket whose rate follows the answer times, with
// multiplicative decrease once a jam, so that all gateways share what a slow, refusing or small counter can do. It does not
// know what a call is for.
type CallLimiter struct {
	// Rate is the calls a second that may be made.
	Rate float64
	// Tokens is the calls that may be made at once, as of UpdatedAt. The caller takes them off as it calls.
	Tokens    float64
	UpdatedAt float64
	// Limited says that a call was denied of late.
	Limited bool

	present     bool    // there is a counter
	timeout     float64 // seconds until a call is given up
	deniedAt    float64 // when a call was last wanted and not allowed
	decreasedAt float64 // when the rate was last cut
}

// NewCallLimiter paces calls that are given up after timeout seconds. Where no counter is present it allows none.
func NewCallLimiter(present bool, timeout float64) CallLimiter {
	return CallLimiter{
		Rate: initialCallRate, Tokens: initialTokens,
		present: present, timeout: timeout, deniedAt: math.Inf(-1),
	}
}

// Allows says whether a call may be made that needs so many tokens; less than 1 for one that may run ahead of the rate.
func (l *CallLimiter) Allows(now, tokens float64) bool {
	l.Tokens = min(max(1, l.Rate*burstSeconds), l.Tokens+l.Rate*(now-l.UpdatedAt))
	l.UpdatedAt = now
	if l.Tokens < tokens {
		l.deniedAt = now
	}
	return l.present && l.Tokens >= tokens
}

// CallEnded adapts the rate to a call that was answered, or lost, after took seconds; gateways is by how many the counter
// is shared. It returns whether Limited has changed.
func (l *CallLimiter) CallEnded(now, gateways float64, answered, lost bool, took float64) (changed bool) {
	switch {
	case lost && now-l.decreasedAt > l.timeout: // once a jam
		l.Rate *= rateDecrease
		l.decreasedAt = now
	case answered && (took > latencyTarget*l.timeout || l.Tokens < l.Rate/10):
		l.Rate += 0.05 + (0.7+0.03*l.Rate)*(latencyTarget-took/l.timeout)
	}
	l.Rate = min(maxCallRate, max(l.Rate, 0.3+60/gateways))
	limited := now-l.deniedAt < limitedFor
	if limited == l.Limited {
		return false
	}
	l.Limited = limited
	return true
}
