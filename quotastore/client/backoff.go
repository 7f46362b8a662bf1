package client

// Delays of the backoff, in seconds.
const (
	minBackoff      = 0.2
	maxBackoff      = 2.0
	backoffInterval = 0.2 // minimum interval between two increases, however many requests fail
)

// backoff increases the interval between records while requests fail.
type backoff struct {
	delay      float64 // added to the usual interval, in seconds
	increaseAt float64 // earliest time of the next increase
}

// update adjusts the delay after a response: a success resets it, and a failure doubles it.
func (b *backoff) update(now float64, failed bool) {
	if !failed {
		b.delay = 0
	} else if now >= b.increaseAt {
		b.delay, b.increaseAt = min(maxBackoff, max(minBackoff, 2*b.delay)), now+backoffInterval
	}
}
