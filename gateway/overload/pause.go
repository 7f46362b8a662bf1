package overload

// This file owns how long whoever lost a connection waits before it dials again. It must never say when a connection counts
// as lost.

import "otterseam/internal/rng"

const (
	// longest is the longest pause of one alone, in seconds; dialled, how many dials a second all together make to what does
	// not answer, when many have lost it.
	longest, dialled = 0.25, 600.0
)

// Backoffs make the pauses of an api gateway's connections to what is not a host: the counter, discovery.
type Backoffs struct {
	all     float64 // api gateways; 0: each pauses as if it were alone
	chances rng.Line
}

// ExponentialBackoffs doubles each pause up to a quarter of a second.
func ExponentialBackoffs() *Backoffs { return &Backoffs{} }

// DecorrelatedBackoffs draws each pause anew (decorrelated jitter: up to three times the one before), and the longer the more api gateways
// there are. Guards against three hundred that lost the counter in the same millisecond and meet it together, again and again.
func DecorrelatedBackoffs(gateways int, seed uint64) *Backoffs {
	return &Backoffs{all: float64(max(1, gateways)), chances: rng.By("pauses %d ", seed)}
}

// Backoff is that of one connection; one goroutine uses it.
type Backoff struct {
	base, most, last float64
	apart            bool
	chances          rng.Line
}

// New gives the pause of a connection whose first is base seconds; it is to be called from one goroutine.
func (p *Backoffs) New(base float64) *Backoff {
	x := &Backoff{base: base, most: longest, last: base}
	if p != nil && p.all > 0 {
		x.apart, x.most = true, max(longest, p.all/dialled)
		x.chances = rng.By("pause %g ", p.chances.Next())
	}
	return x
}

// Next is how long to wait now, in seconds.
func (x *Backoff) Next() float64 {
	if !x.apart {
		now := x.last
		x.last = min(2*x.last, x.most)
		return now
	}
	x.last = min(x.most, x.base+x.chances.Next()*(3*x.last-x.base))
	return x.last
}

// Over: the connection stood, and the next pause is a first one again.
func (x *Backoff) Reset() { x.last = x.base }
