package overload

import "otterseam/internal/rng"

const (
	// maxBackoff is the longest delay that does not depend on the size of the fleet, in seconds.
	maxBackoff = 0.25
	// fleetDialRate is the target for the dials per second of all gateways together to an address that does not answer.
	fleetDialRate = 600.0
	// maxJitterFactor is the largest ratio of a delay to the one before it.
	maxJitterFactor = 3
)

// Backoffs creates the backoffs of a gateway's connections to services other than hosts: the quota counter and discovery.
type Backoffs struct {
	gateways float64 // size of the fleet; 0: plain exponential backoff
	random   rng.Stream
}

// ExponentialBackoffs returns a Backoffs whose delays double each time, up to a quarter of a second.
func ExponentialBackoffs() *Backoffs { return &Backoffs{} }

// DecorrelatedBackoffs returns a Backoffs with decorrelated jitter: each delay is random, up to three times the one before.
// The longest delay grows with the number of gateways. This keeps hundreds of gateways that lost the counter in the same
// millisecond from dialing it in synchronized bursts.
func DecorrelatedBackoffs(gateways int, seed uint64) *Backoffs {
	return &Backoffs{gateways: float64(max(1, gateways)), random: rng.New("pauses %d ", seed)}
}

// New returns the backoff of one connection, with a base delay of base seconds. A nil Backoffs returns exponential
// backoffs. New must be called from one goroutine.
func (b *Backoffs) New(base float64) *Backoff {
	backoff := &Backoff{base: base, limit: maxBackoff, last: base}
	if b != nil && b.gateways > 0 {
		backoff.jitter = true
		backoff.limit = max(maxBackoff, b.gateways/fleetDialRate)
		backoff.random = rng.New("pause %g ", b.random.Float64())
	}
	return backoff
}

// Backoff computes the delays between the dials of one connection.
type Backoff struct {
	base   float64
	limit  float64
	last   float64
	jitter bool
	random rng.Stream
}

// Next returns the delay before the next dial, in seconds.
func (b *Backoff) Next() float64 {
	if !b.jitter {
		delay := b.last
		b.last = min(2*b.last, b.limit)
		return delay
	}
	b.last = min(b.limit, b.base+b.random.Float64()*(maxJitterFactor*b.last-b.base))
	return b.last
}

// Reset restarts the sequence of delays. It is called once a connection was established.
func (b *Backoff) Reset() { b.last = b.base }
