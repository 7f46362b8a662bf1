package overload

import "math"

const (
	// initialCallRate and maxCallRate are the initial and the maximum rate of one gateway's calls to the counter, in calls/s.
	initialCallRate = 32
	maxCallRate     = 2000
	initialTokens   = 8
	// burstSeconds is the capacity of the token bucket, in seconds of calls at the current rate.
	burstSeconds = 1.0 / 8
	// rateDecrease is the factor applied to the rate after a lost call.
	rateDecrease = 0.8
	// latencyTarget is the latency below which the rate grows, as a fraction of the call's time-out.
	latencyTarget = 0.4
	// limitedFor is how long after a denied call Limited remains set, in seconds.
	limitedFor = 2
)

// CallLimiter limits the rate of one gateway's calls to the quota counter. It is a token bucket whose rate adapts to the
// latency of the calls, with at most one multiplicative decrease per time-out, so that all gateways share the capacity of a
// slow, refusing or small counter. It is independent of the purpose of the calls.
type CallLimiter struct {
	// Rate is the allowed rate, in calls/s.
	Rate float64
	// Tokens is the number of calls allowed at once, as of UpdatedAt. The caller decrements it for each call.
	Tokens    float64
	UpdatedAt float64
	// Limited reports whether a call was denied recently.
	Limited bool

	present     bool    // there is a counter
	timeout     float64 // seconds until a call times out
	deniedAt    float64 // time of the last denied call
	decreasedAt float64 // time of the last decrease of the rate
}

// NewCallLimiter returns a limiter for calls that time out after timeout seconds. If no counter is present it allows none.
func NewCallLimiter(present bool, timeout float64) CallLimiter {
	return CallLimiter{
		Rate: initialCallRate, Tokens: initialTokens,
		present: present, timeout: timeout, deniedAt: math.Inf(-1),
	}
}

// Allows reports whether a call that needs the given number of tokens may be made. A number below 1 lets the call exceed the
// rate.
func (l *CallLimiter) Allows(now, tokens float64) bool {
	l.Tokens = min(max(1, l.Rate*burstSeconds), l.Tokens+l.Rate*(now-l.UpdatedAt))
	l.UpdatedAt = now
	if l.Tokens < tokens {
		l.deniedAt = now
	}
	return l.present && l.Tokens >= tokens
}

// CallEnded adapts the rate to a call that was answered, or lost, after duration seconds. gateways is the number of gateways
// that share the counter. CallEnded reports whether Limited has changed.
func (l *CallLimiter) CallEnded(now, gateways float64, answered, lost bool, duration float64) (changed bool) {
	switch {
	case lost && now-l.decreasedAt > l.timeout: // calls lost in the same burst decrease the rate once
		l.Rate *= rateDecrease
		l.decreasedAt = now
	case answered && (duration > latencyTarget*l.timeout || l.Tokens < l.Rate/10):
		l.Rate += 0.05 + (0.7+0.03*l.Rate)*(latencyTarget-duration/l.timeout)
	}
	l.Rate = min(maxCallRate, max(l.Rate, 0.3+60/gateways))
	limited := now-l.deniedAt < limitedFor
	if limited == l.Limited {
		return false
	}
	l.Limited = limited
	return true
}
