package retryafter

import "time"

const (
	// newestWeight is how much the newest outage counts against those before it.
	newestWeight = 0.3
	// overrunShare is the part of its present age for which an outage is expected to last on, once it is older than expected.
	overrunShare = 0.5
	// maxUnseenGap is the longest pause between the last failure and the next success after which it is known when an outage
	// ended.
	maxUnseenGap = 250 * time.Millisecond
)

// outage is one that is under way.
type outage struct {
	since       time.Time // first failure
	lastFailure time.Time
}

// OutageEstimator knows the outages of dependencies of one kind: which are under way, and how long such outages have lasted. It is
// not safe for concurrent use.
type OutageEstimator struct {
	mean      time.Duration
	deviation time.Duration
	ongoing   map[string]outage // by dependency
}

// NewOutageEstimator begins with the duration that outages are assumed to have until one has been seen.
func NewOutageEstimator(assumed time.Duration) *OutageEstimator {
	return &OutageEstimator{mean: assumed, ongoing: map[string]outage{}}
}

// RecordFailure notes that a dependency could not be used.
func (e *OutageEstimator) RecordFailure(dependency string, now time.Time) {
	current, ongoing := e.ongoing[dependency]
	if !ongoing {
		current.since = now
	}
	current.lastFailure = now
	e.ongoing[dependency] = current
}

// RecordSuccess notes that a dependency could be used, which ends its outage.
func (e *OutageEstimator) RecordSuccess(dependency string, now time.Time) {
	ended, ongoing := e.ongoing[dependency]
	if !ongoing {
		return
	}
	delete(e.ongoing, dependency)
	if now.Sub(ended.lastFailure) <= maxUnseenGap {
		e.learn(now.Sub(ended.since))
	}
}

// learn follows mean and mean deviation of the outages, as estimates of round-trip times do.
func (e *OutageEstimator) learn(duration time.Duration) {
	difference := (duration - e.mean).Abs()
	e.mean += weighted(duration - e.mean)
	e.deviation += weighted(difference - e.deviation)
}

func weighted(difference time.Duration) time.Duration {
	return time.Duration(newestWeight * float64(difference))
}

// Remaining is how much longer the outage of a dependency is expected to last; for one that is not under way, how long it would.
// One that is older than expected is taken to last on for a part of its age.
func (e *OutageEstimator) Remaining(dependency string, now time.Time) time.Duration {
	expected := e.mean + e.deviation
	current, ongoing := e.ongoing[dependency]
	if !ongoing {
		return expected
	}
	age := now.Sub(current.since)
	return max(expected-age, time.Duration(overrunShare*float64(age)))
}
