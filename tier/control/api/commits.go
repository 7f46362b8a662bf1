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
	// commitDependency names the primary's commits as what commands depend on.
	commitDependency = "commits"
	// assumedOutage is how long an outage of commits is assumed to last before one has been seen: until the silence of a primary is
	// noticed and another one leads.
	assumedOutage = (lease.ElectionTimeout + lease.ElectionStagger) * time.Millisecond
	// assumedPatience is how long callers are assumed to go on: hosts and operators call for some seconds.
	assumedPatience = 4 * time.Second
)

// commitOutages knows the outages of commits that this process has seen. Its methods may be called from any goroutine.
type commitOutages struct {
	now func() time.Time

	mu       sync.Mutex // guards estimate
	estimate *retryafter.OutageEstimator
}

func newCommitOutages(now func() time.Time) *commitOutages {
	return &commitOutages{now: now, estimate: retryafter.NewOutageEstimator(assumedOutage)}
}

// record notes whether a command was committed.
func (c *commitOutages) record(committed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if committed {
		c.estimate.RecordSuccess(commitDependency, c.now())
	} else {
		c.estimate.RecordFailure(commitDependency, c.now())
	}
}

// retryAfter is after how many seconds a caller had best come back.
func (c *commitOutages) retryAfter() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.estimate.Remaining(commitDependency, c.now())
	delay := retryafter.Delay(assumedPatience, expected, rand.Float64())
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}
