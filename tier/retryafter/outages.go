package retryafter

import "time"

const (
	// newestWeight is the weight of the newest outage in the mean and the mean deviation.
	newestWeight = 0.3
	// overrunShare is the share of its current age for which an outage is expected to continue, once it has lasted longer than
	// expected.
	overrunShare = 0.5
	// maxUnseenGap is the maximum time between the last failure and the next success for which the end of an outage is known
	// precisely enough to use its duration.
	maxUnseenGap = 250 * time.Millisecond
)

// outage is an ongoing outage.
type outage struct {
	since       time.Time // first failure
	lastFailure time.Time
}

// OutageEstimator tracks the ongoing outages of dependencies of one kind and estimates their duration from past outages. It is not
// safe for concurrent use.
type OutageEstimator struct {
	mean      time.Duration
	deviation time.Duration
	ongoing   map[string]outage // by dependency
}

// NewOutageEstimator returns an estimator. Outages are expected to last for the assumed duration until one has been observed.
func NewOutageEstimator(assumed time.Duration) *OutageEstimator {
	return &OutageEstimator{mean: assumed, ongoing: map[string]outage{}}
}

// RecordFailure records a failed use of a dependency.
func (e *OutageEstimator) RecordFailure(dependency string, now time.Time) {
	current, ongoing := e.ongoing[dependency]
	if !ongoing {
		current.since = now
	}
	current.lastFailure = now
	e.ongoing[dependency] = current
}

// RecordSuccess records a successful use of a dependency, which ends its outage.
func (e *OutageEstimator) RecordSuccess(dependency string, now time.Time) {
	ended, ongoing := e.ongoing[dependency]
	if !ongoing {
		return
	}
	delete(e.ongoing, dependency)
	if now.Sub(ended.lastFailure) <= maxUnseenGap {
		e.update(now.Sub(ended.since))
	}
}

// update updates the mean and the mean deviation with the duration of an outage, as estimators of round-trip times do.
func (e *OutageEstimator) update(duration time.Duration) {
	difference := (duration - e.mean).Abs()
	e.mean += weighted(duration - e.mean)
	e.deviation += weighted(difference - e.deviation)
}

// weighted returns the change of a moving average for the difference of the newest value from it.
func weighted(difference time.Duration) time.Duration {
	return time.Duration(newestWeight * float64(difference))
}

// Remaining returns how much longer the outage of a dependency is expected to last. If there is no outage, it returns the expected
// duration of one. An outage that has lasted longer than expected is assumed to continue for a share of its age.
func (e *OutageEstimator) Remaining(dependency string, now time.Time) time.Duration {
	expected := e.mean + e.deviation
	current, ongoing := e.ongoing[dependency]
	if !ongoing {
		return expected
	}
	age := now.Sub(current.since)
	return max(expected-age, time.Duration(overrunShare*float64(age)))
}
