package tiercluster

import (
	"fmt"
	"net/http"
	"time"
)

// pollInterval is the pause between two evaluations of a condition.
const pollInterval = 10 * time.Millisecond

// TimeoutError is returned when a condition didn't become true in time.
type TimeoutError struct {
	Limit time.Duration
}

// Error returns a message with the time limit.
func (e *TimeoutError) Error() string { return fmt.Sprintf("condition not met within %s", e.Limit) }

// WaitUntil polls a condition until it holds. It returns a *TimeoutError if the condition doesn't hold within limit.
func WaitUntil(limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return &TimeoutError{Limit: limit}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitReady waits until all fronts report that they are ready.
func (c *Cluster) WaitReady(limit time.Duration) error {
	return WaitUntil(limit, func() bool {
		for _, front := range c.addresses(frontClass, readinessPort) {
			if got := Call(http.MethodGet, "http://"+front+"/v1/readiness", front, nil, ""); got.Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
