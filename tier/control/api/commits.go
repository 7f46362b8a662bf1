package api

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"otterseam/tier/lease"
	"otterseam/tier/retryafter"
)

const (
	// commitDependency is the name of the dependency on the primary's commits.
	commitDependency = "commits"
	// assumedOutage is the assumed duration of a commit outage until one was observed: the time to detect a silent primary and elect
	// another one.
	assumedOutage = (lease.ElectionTimeout + lease.ElectionStagger) * time.Millisecond
	// assumedRetryTime is for how long clients are assumed to retry: hosts and operators retry for some seconds.
	assumedRetryTime = 4 * time.Second
)

// commitOutages estimates the duration of commit outages from those that this process observed. Its methods may be called from any
// goroutine.
type commitOutages struct {
	now func() time.Time

	mu        sync.Mutex // guards estimator
	estimator *retryafter.OutageEstimator
}

func newCommitOutages(now func() time.Time) *commitOutages {
	return &commitOutages{now: now, estimator: retryafter.NewOutageEstimator(assumedOutage)}
}

// record records whether a command was committed.
func (c *commitOutages) record(committed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if committed {
		c.estimator.RecordSuccess(commitDependency, c.now())
	} else {
		c.estimator.RecordFailure(commitDependency, c.now())
	}
}

// retryAfter returns the value of the Retry-After header in seconds: when the current outage is expected to have ended.
func (c *commitOutages) retryAfter() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.estimator.Remaining(commitDependency, c.now())
	delay := retryafter.Delay(assumedRetryTime, expected, rand.Float64())
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}
