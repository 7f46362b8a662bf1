package retryafter

import "time"

const (
	// heededShare is the part of its remaining time up to which a client heeds Retry-After.
	heededShare = 1.0 / 3
	// heededMargin keeps the delay below that bound, as the client's time runs on until it has read it.
	heededMargin = 0.95
	// jitterShare is how far the delay is spread at random, so that clients rejected in one instant don't retry in one.
	jitterShare = 0.3
	// minDelay is the shortest delay: below it a client would retry before anything can have changed.
	minDelay = 100 * time.Millisecond
)

// Delay is the Retry-After of a client that has some time remaining, when what it needs is expected back after a time. Random lies
// between 0 and 1.
func Delay(remaining, expected time.Duration, random float64) time.Duration {
	longest := time.Duration(heededShare * heededMargin * float64(remaining))
	delay := time.Duration((1 + jitterShare*random) * float64(expected))
	if delay > longest { // beyond the bound nothing is heeded: the spread lies below it
		delay = time.Duration((1 - jitterShare*random) * float64(longest))
	}
	return max(delay, min(minDelay, longest))
}
