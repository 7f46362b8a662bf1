package balance

import (
	"math"
	"time"
)

const (
	// reportTrust is for how long the load that a host reported is believed.
	reportTrust = 400 * time.Millisecond

	// A host whose connection failed backs off for initialBackoff, doubled with each failure in a row, up to maxBackoff.
	initialBackoff     = 300 * time.Millisecond
	maxBackoff         = 5 * time.Second
	maxBackoffDoubling = 4

	// fleetTrust is for how long it is believed what the other gateways have in flight.
	fleetTrust = 700 * time.Millisecond

	// errorRateGain is the weight of the newest outcome in a host's error rate.
	errorRateGain = 0.2
	// errorRateHalfLife is the time in which an error rate halves without new errors.
	errorRateHalfLife = 4 * time.Second

	// reentryShare is the share of choices in which a host is considered when its ejection has just ended; the share doubles in
	// each reentryDoubling, so that the host warms up in steps.
	reentryShare    = 0.1
	reentryDoubling = time.Second
)

// Host is a host and what this gateway knows of its load and health. The exported fields belong to the caller.
type Host struct {
	ID       string
	Zone     string
	Slots    int // requests that it runs at once
	Draining bool
	// HasIdleConnection reports whether a connection to the host is open and idle; nil means never.
	HasIdleConnection func() bool

	inflight int // requests of this gateway there
	others   int // requests of all other gateways there, at othersAt
	othersAt time.Time
	stalled  int // those of them without a sign of life for longer than usual

	reportedLoad float64 // requests running and queued, as the host reported
	reportedAt   time.Time

	consecutiveFailures int
	backoffUntil        time.Time
	ejectedUntil        time.Time // by the fleet's outlier detection; zero if not ejected or warmed up again

	errorRate   float64 // exponentially weighted share of requests that failed, at errorRateAt
	errorRateAt time.Time
}

// Begin counts a request as in flight.
func (h *Host) Begin() { h.inflight++ }

// End counts off a request that was in flight.
func (h *Host) End() { h.inflight-- }

// Inflight is the number of this gateway's requests at the host.
func (h *Host) Inflight() int { return h.inflight }

// UpdateOthers takes how many requests all other gateways have in flight at the host.
func (h *Host) UpdateOthers(inflight int, now time.Time) {
	h.others = inflight
	h.othersAt = now
}

// UpdateLoad takes the load that the host reported: requests running and queued.
func (h *Host) UpdateLoad(running, queued int, now time.Time) {
	h.reportedLoad = float64(running + queued)
	h.reportedAt = now
}

// RecordSuccess notes a complete response, which ends a backoff.
func (h *Host) RecordSuccess(now time.Time) {
	h.consecutiveFailures = 0
	h.backoffUntil = time.Time{}
	h.updateErrorRate(0, now)
}

// RecordServerError notes a response that says that the host failed. The request itself may be the cause, so the host doesn't back
// off.
func (h *Host) RecordServerError(now time.Time) {
	h.consecutiveFailures = 0
	h.updateErrorRate(1, now)
}

// RecordConnectionFailure notes a request that broke off or could not be sent; the host is avoided for a backoff that grows.
func (h *Host) RecordConnectionFailure(now time.Time) {
	h.consecutiveFailures++
	backoff := initialBackoff << min(h.consecutiveFailures-1, maxBackoffDoubling)
	h.backoffUntil = now.Add(min(backoff, maxBackoff))
	h.updateErrorRate(1, now)
}

// RecordRejection notes that the host rejected a request for lack of slots, so that it is at least full.
func (h *Host) RecordRejection(now time.Time) {
	h.reportedLoad = math.Max(h.reportedLoad, float64(h.slots()))
	h.reportedAt = now
}

// Eject keeps requests away from the host until a time, as the fleet's outlier detection decided. After it the host gets its share
// back in steps.
func (h *Host) Eject(until time.Time) { h.ejectedUntil = until }

// IsSuspect tells whether the host backs off, has requests that are stalled, or fails for more than a share of its requests.
func (h *Host) IsSuspect(now time.Time, errorRate float64) bool {
	return now.Before(h.backoffUntil) || h.stalled > 0 || h.decayedErrorRate(now) > errorRate
}

// RecordStall counts a request in flight that has waited for longer than usual without a sign of life.
func (h *Host) RecordStall() { h.stalled++ }

// ClearStall counts off a request that was recorded as stalled.
func (h *Host) ClearStall() { h.stalled-- }

// isEjected reports whether an ejection, or the warm-up after it, keeps the host out of a choice. It draws from random, between 0
// and 1, only during the warm-up.
func (h *Host) isEjected(now time.Time, random func() float64) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	if now.Before(h.ejectedUntil) {
		return true
	}
	share := reentryShare * math.Exp2(now.Sub(h.ejectedUntil).Seconds()/reentryDoubling.Seconds())
	if share >= 1 {
		h.ejectedUntil = time.Time{}
		return false
	}
	return random() >= share
}

// stallShare is the share of this gateway's requests there that are stalled. It is a share, so that hosts that are all slow under
// load are not told apart by chance.
func (h *Host) stallShare() float64 {
	if h.stalled == 0 {
		return 0
	}
	return float64(h.stalled) / float64(max(h.inflight, h.stalled))
}

// updateErrorRate follows the share of requests that fail, so that a host that succeeds in between is still known for its errors.
func (h *Host) updateErrorRate(failed float64, now time.Time) {
	h.errorRate = (1-errorRateGain)*h.decayedErrorRate(now) + errorRateGain*failed
	h.errorRateAt = now
}

func (h *Host) decayedErrorRate(now time.Time) float64 {
	if h.errorRate == 0 {
		return 0
	}
	return h.errorRate * math.Exp2(-now.Sub(h.errorRateAt).Seconds()/errorRateHalfLife.Seconds())
}

func (h *Host) slots() int { return max(h.Slots, 1) }

// load is the share of the host's slots that is taken, as far as is known here.
func (h *Host) load(now time.Time) float64 {
	busy := float64(h.inflight)
	if now.Sub(h.othersAt) < fleetTrust {
		busy += float64(h.others)
	}
	if now.Sub(h.reportedAt) < reportTrust {
		busy = math.Max(busy, h.reportedLoad)
	}
	return busy / float64(h.slots())
}
