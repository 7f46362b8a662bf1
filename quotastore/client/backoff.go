package client

// Seconds.
const (
	minBackoff      = 0.2
	maxBackoff      = 2.0
	backoffInterval = 0.2 // between two increases, however many requests fail
)

// backoff spaces out records while requests fail.
type backoff struct {
	delay      float64 // seconds on top of the usual interval
	increaseAt float64 // before which the delay does not grow again
}

// update takes the result of a request: a success resets the delay, a failure doubles it.
func (b *backoff) update(now float64, failed bool) {
	if !failed {
		b.delay = 0
	} else if now >= b.increaseAt {
		b.delay, b.increaseAt = min(maxBackoff, max(minBackoff, 2*b.delay)), now+backoffInterval
	}
}
