package balance

import (
	"math"
	"time"
)

const (
	// reportedLoadTTL is how long the load that a host reported is used.
	reportedLoadTTL = 400 * time.Millisecond

	// A host whose connection failed is avoided for initialBackoff, which doubles with each consecutive failure, up to maxBackoff.
	initialBackoff     = 300 * time.Millisecond
	maxBackoff         = 5 * time.Second
	maxBackoffDoubling = 4

	// otherRequestsTTL is how long the number of requests that other gateways have in flight is used.
	otherRequestsTTL = 700 * time.Millisecond

	// errorRateGain is the weight of the newest outcome in a host's error rate.
	errorRateGain = 0.2
	// errorRateHalfLife is the half-life of an error rate without new outcomes.
	errorRateHalfLife = 4 * time.Second

	// initialWarmUpShare is the share of choices in which a host is considered right after its ejection has ended. The share doubles
	// every warmUpDoublingTime, so that the host's load grows gradually.
	initialWarmUpShare = 0.1
	warmUpDoublingTime = time.Second
)

// Host is a host together with its load and health as this gateway observes them. The caller sets the exported fields.
type Host struct {
	ID       string
	Zone     string
	Slots    int // number of requests that the host runs at once
	Draining bool
	// HasIdleConnection reports whether a connection to the host is open and idle; nil means never.
	HasIdleConnection func() bool

	inflight int // requests of this gateway at the host
	others   int // requests of all other gateways at the host, as of othersAt
	othersAt time.Time
	stalled  int // requests of this gateway that have received nothing for longer than usual

	reportedLoad float64 // requests running and queued, as the host reported
	reportedAt   time.Time

	consecutiveFailures int
	backoffUntil        time.Time
	ejectedUntil        time.Time // end of the ejection by the fleet's outlier detection; zero if not ejected and not warming up

	errorRate   float64 // exponentially weighted share of failed requests, as of errorRateAt
	errorRateAt time.Time
}

// Begin counts a request as in flight.
func (h *Host) Begin() { h.inflight++ }

// End stops counting a request as in flight.
func (h *Host) End() { h.inflight-- }

// Inflight returns the number of requests that this gateway has in flight at the host.
func (h *Host) Inflight() int { return h.inflight }

// UpdateOthers sets the number of requests that all other gateways have in flight at the host.
func (h *Host) UpdateOthers(inflight int, now time.Time) {
	h.others = inflight
	h.othersAt = now
}

// UpdateLoad sets the load that the host reported: the requests running and queued.
func (h *Host) UpdateLoad(running, queued int, now time.Time) {
	h.reportedLoad = float64(running + queued)
	h.reportedAt = now
}

// RecordSuccess records a complete response. It ends a backoff.
func (h *Host) RecordSuccess(now time.Time) {
	h.consecutiveFailures = 0
	h.backoffUntil = time.Time{}
	h.updateErrorRate(0, now)
}

// RecordServerError records a response that reports a failure of the host. The request itself may be the cause, so no backoff
// starts.
func (h *Host) RecordServerError(now time.Time) {
	h.consecutiveFailures = 0
	h.updateErrorRate(1, now)
}

// RecordConnectionFailure records a request whose connection broke or that could not be sent. The host is avoided for an
// exponentially growing backoff.
func (h *Host) RecordConnectionFailure(now time.Time) {
	h.consecutiveFailures++
	backoff := initialBackoff << min(h.consecutiveFailures-1, maxBackoffDoubling)
	h.backoffUntil = now.Add(min(backoff, maxBackoff))
	h.updateErrorRate(1, now)
}

// RecordRejection records that the host rejected a request for lack of slots: its load is at least its number of slots.
func (h *Host) RecordRejection(now time.Time) {
	h.reportedLoad = math.Max(h.reportedLoad, float64(h.slots()))
	h.reportedAt = now
}

// Eject keeps requests away from the host until the given time, which the fleet's outlier detection decided. After that, the host
// warms up: it is considered in a growing share of choices.
func (h *Host) Eject(until time.Time) { h.ejectedUntil = until }

// IsSuspect reports whether the host is backing off, has stalled requests, or has an error rate above the given one.
func (h *Host) IsSuspect(now time.Time, errorRate float64) bool {
	return now.Before(h.backoffUntil) || h.stalled > 0 || h.decayedErrorRate(now) > errorRate
}

// RecordStall counts a request in flight that has received nothing for longer than usual.
func (h *Host) RecordStall() { h.stalled++ }

// ClearStall stops counting a request as stalled.
func (h *Host) ClearStall() { h.stalled-- }

// isEjected reports whether an ejection, or the warm-up after it, excludes the host from a choice. It calls random, which returns a
// number between 0 and 1, only during the warm-up.
func (h *Host) isEjected(now time.Time, random func() float64) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	if now.Before(h.ejectedUntil) {
		return true
	}
	share := initialWarmUpShare * math.Exp2(now.Sub(h.ejectedUntil).Seconds()/warmUpDoublingTime.Seconds())
	if share >= 1 {
		h.ejectedUntil = time.Time{}
		return false
	}
	return random() >= share
}

// stallShare returns the share of this gateway's requests at the host that are stalled. It is a share and not a count, so that
// chance does not decide between hosts that are all slow under load.
func (h *Host) stallShare() float64 {
	if h.stalled == 0 {
		return 0
	}
	return float64(h.stalled) / float64(max(h.inflight, h.stalled))
}

// updateErrorRate adds an outcome, 1 for a failed request and 0 for a successful one, to the error rate. A single success does not
// reset the rate.
func (h *Host) updateErrorRate(failed float64, now time.Time) {
	h.errorRate = (1-errorRateGain)*h.decayedErrorRate(now) + errorRateGain*failed
	h.errorRateAt = now
}

// decayedErrorRate returns the error rate, decayed since the last outcome.
func (h *Host) decayedErrorRate(now time.Time) float64 {
	if h.errorRate == 0 {
		return 0
	}
	return h.errorRate * math.Exp2(-now.Sub(h.errorRateAt).Seconds()/errorRateHalfLife.Seconds())
}

func (h *Host) slots() int { return max(h.Slots, 1) }

// load returns the share of the host's slots that this gateway knows to be in use. It exceeds 1 when requests are queued.
func (h *Host) load(now time.Time) float64 {
	busy := float64(h.inflight)
	if now.Sub(h.othersAt) < otherRequestsTTL {
		busy += float64(h.others)
	}
	if now.Sub(h.reportedAt) < reportedLoadTTL {
		busy = math.Max(busy, h.reportedLoad)
	}
	return busy / float64(h.slots())
}
