package overload

import (
	"fmt"
	"testing"
)

// The retries of the whole fleet stay within a fifth of its first attempts and the initial budgets.
func TestRetryBudgetOfTheFleet(t *testing.T) {
	for _, gateways := range []int{3, 300, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			retries, firstAttempts := 0, 0
			for i := range gateways {
				c := New(Config{Gateways: gateways, Seed: uint64(i)})
				for second := range 20 {
					c.AttemptStarted(float64(second), "h", false)
					firstAttempts++
					for c.AllowsRetry() {
						c.AttemptStarted(float64(second), "h", true)
						retries++
					}
				}
			}
			earned := retryRatio * float64(firstAttempts)
			limit := earned + max(float64(gateways), min(maxSavedRetries*float64(gateways), maxSavedRetriesFleet))
			if float64(retries) > limit+1 || float64(retries) < earned-1 {
				t.Errorf("%d retries for %d first attempts, want %.0f to %.0f", retries, firstAttempts, earned, limit)
			}
		})
	}
}
