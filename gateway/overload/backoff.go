package overload

import "otterseam/internal/rng"

const (
	// maxBackoff is the longest pause of a gateway that decides alone, in seconds.
	maxBackoff = 0.25
	// fleetDialRate is how many dials a second all gateways together make to an address that does not answer.
	fleetDialRate = 600.0
	// jitterFactor is how much longer than the last pause the next one may be drawn.
	jitterFactor = 3
)

// Backoffs makes the pauses of a gateway's connections to what is not a host: the quota counter, discovery.
type Backoffs struct {
	gateways float64 // of the fleet; 0: each gateway backs off as if it were alone
	random   rng.Stream
}

// ExponentialBackoffs doubles each pause up to a quarter of a second.
func ExponentialBackoffs() *Backoffs { return &Backoffs{} }

// DecorrelatedBackoffs draws each pause anew (decorrelated jitter: up to three times the one before), and longer the more
// gateways there are. It keeps hundreds of them that lost the counter in the same millisecond from meeting it in step.
func DecorrelatedBackoffs(gateways int, seed uint64) *Backoffs {
	return &Backoffs{gateways: float64(max(1, gateways)), random: rng.New("pauses %d ", seed)}
}

// New gives the backoff of one connection, whose first pause is base seconds. A nil Backoffs gives exponential ones.
// It is called from one goroutine.
func (b *Backoffs) New(base float64) *Backoff {
	backoff := &Backoff{base: base, limit: maxBackoff, last: base}
	if b != nil && b.gateways > 0 {
		backoff.jitter = true
		backoff.limit = max(maxBackoff, b.gateways/fleetDialRate)
		backoff.random = rng.New("pause %g ", b.random.Float64())
	}
	return backoff
}

// Backoff gives the pauses between the dials of one connection.
type Backoff struct {
	base   float64
	limit  float64
	last   float64
	jitter bool
	random rng.Stream
}

// Next is how long to wait before the next dial, in seconds.
func (b *Backoff) Next() float64 {
	if !b.jitter {
		pause := b.last
		b.last = min(2*b.last, b.limit)
		return pause
	}
	b.last = min(b.limit, b.base+b.random.Float64()*(jitterFactor*b.last-b.base))
	return b.last
}

// Reset is called when the connection stood: the next pause is a first one again.
func (b *Backoff) Reset() { b.last = b.base }
