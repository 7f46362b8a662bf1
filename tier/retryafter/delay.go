package retryafter

import "time"

const (
	// honoredShare is the share of its remaining time up to which a client honors Retry-After.
	honoredShare = 1.0 / 3
	// honoredMargin keeps the delay below that bound, because the client's remaining time decreases until it has read the response.
	honoredMargin = 0.95
	// jitterShare is the relative range of the random jitter, so that clients rejected at the same moment do not retry at the same
	// moment.
	jitterShare = 0.3
	// minDelay is the shortest delay. After a shorter one, nothing can have changed yet.
	minDelay = 100 * time.Millisecond
)

// Delay returns the Retry-After delay for a client. The parameter remaining is the time until the client's deadline, expected is the
// time after which the failed dependency is expected to work again, and random is a number between 0 and 1.
func Delay(remaining, expected time.Duration, random float64) time.Duration {
	longest := time.Duration(honoredShare * honoredMargin * float64(remaining))
	delay := time.Duration((1 + jitterShare*random) * float64(expected))
	if delay > longest { // clients do not honor a longer delay, so the jitter is subtracted from the bound
		delay = time.Duration((1 - jitterShare*random) * float64(longest))
	}
	return max(delay, min(minDelay, longest))
}
