// Package retryafter works out when a client that is refused had best come back. It is pure: when something that requests depend
// on failed and worked again goes in, with the time, and the time for Retry-After comes out. Nothing in it is tuned to a
// deployment: it learns how long outages last from those that this process has seen.
package retryafter

import "time"

const (
	// newestWeight is how much the newest outage counts against those before it.
	newestWeight = 0.3
	// ageShare is the part of its present age that an outage is taken to last on, once it is older than expected.
	ageShare = 0.5
	// learnGap is the longest pause between the last failure and the next success after which it is known when an outage ended.
	learnGap = 250 * time.Millisecond
	// heededShare is the part of its remaining time up to which a client heeds what it is told.
	heededShare = 1.0 / 3
	// heededMargin keeps the advice below that bound, as the client's time runs on until it has read it.
	heededMargin = 0.95
	// jitterShare is how far the advice is spread by chance, so that clients refused in one instant don't come back in one.
	jitterShare = 0.3
	// shortest is the least that is advised: below it a client would come back before anything can have changed.
	shortest = 100 * time.Millisecond
)

// outage is one that is under way.
type outage struct {
	since  time.Time
	failed time.Time // when it was met last
}

// Outages is what is known of the outages of things of one kind: which are out now, and how long such outages have lasted here. It
// has one owner.
type Outages struct {
	assumed   time.Duration
	mean      time.Duration
	deviation time.Duration
	out       map[string]outage
}

// NewOutages begins with the duration that outages are assumed to have until one has been seen.
func NewOutages(assumed time.Duration) *Outages {
	return &Outages{assumed: assumed, mean: assumed, out: map[string]outage{}}
}

// Failed notes that a thing could not be used.
func (o *Outages) Failed(key string, now time.Time) {
	held, out := o.out[key]
	if !out {
		held.since = now
	}
	held.failed = now
	o.out[key] = held
}

// Worked notes that a thing could be used, which ends its outage.
func (o *Outages) Worked(key string, now time.Time) {
	held, out := o.out[key]
	if !out {
		return
	}
	delete(o.out, key)
	if now.Sub(held.failed) <= learnGap {
		o.learn(now.Sub(held.since))
	}
}

// learn follows mean and mean deviation of the outages, as estimates of round-trip times do.
func (o *Outages) learn(lasted time.Duration) {
	off := (lasted - o.mean).Abs()
	o.mean += weighted(lasted - o.mean)
	o.deviation += weighted(off - o.deviation)
}

func weighted(difference time.Duration) time.Duration {
	return time.Duration(newestWeight * float64(difference))
}

// Remaining is how much longer the outage of a thing is expected to last. One that is older than expected is taken to last on for
// a part of its age.
func (o *Outages) Remaining(key string, now time.Time) time.Duration {
	expected := o.mean + o.deviation
	held, out := o.out[key]
	if !out {
		return expected
	}
	age := now.Sub(held.since)
	return max(expected-age, time.Duration(ageShare*float64(age)))
}

// Advice is the time to tell a client that has so much time left, when what it needs is expected back after a time. Chance lies
// between 0 and 1.
func Advice(left, expected time.Duration, chance float64) time.Duration {
	most := time.Duration(heededShare * heededMargin * float64(left))
	advice := time.Duration((1 + jitterShare*chance) * float64(expected))
	if advice > most { // beyond the bound nothing is heeded: the spread lies below it
		advice = time.Duration((1 - jitterShare*chance) * float64(most))
	}
	return max(advice, min(shortest, most))
}
