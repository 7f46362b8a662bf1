// Package hangdetect decides for how long a request waits for the first sign of its answer before it is taken for hung, so that it
// can be tried again while there is time. It is pure, and has no figure of a service: what is usual is learned from the answers
// that come, as retransmission timers learn round-trip times (RFC 6298).
package hangdetect

import "time"

const (
	// gainMean and gainDeviation are the weights of the newest time in the mean and the mean deviation.
	gainMean      = 1.0 / 16
	gainDeviation = 1.0 / 8
	// deviations is how many mean deviations above the mean a time may lie before it is out of the ordinary.
	deviations = 10
	// leastMargin is the least that a time has to lie above the mean: as long may the process itself have been held up, by its
	// scheduler or its share of a processor. It is what RFC 6298 calls the granularity of the clock.
	leastMargin = 150 * time.Millisecond
	// leastSeen is how many times have to be known before anything is out of the ordinary.
	leastSeen = 16
	// usefulShare is the part of the remaining time up to which a request is given up: behind it, no further try would fit.
	usefulShare = 0.5
	// allowedShare is how many requests may be given up for each that is answered. Where more would be, everything is slow, and
	// giving up would only add load.
	allowedShare = 0.1
	// mostSaved bounds how many may be given up in a row.
	mostSaved = 4
)

// Estimator knows the usual times of one kind of request. The zero value knows none. It has one owner.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	seen      int
	allowance float64
}

// Answered notes how long a request waited for the first sign of its answer.
func (e *Estimator) Answered(waited time.Duration) {
	e.learn(waited)
	e.allowance = min(e.allowance+allowedShare, mostSaved)
}

// GivenUp notes a request that was given up after a time. It would have taken longer, so that a service which is slow everywhere
// soon counts as usual.
func (e *Estimator) GivenUp(waited time.Duration) {
	e.learn(waited)
	e.allowance = max(e.allowance-1, 0)
}

func (e *Estimator) learn(waited time.Duration) {
	if e.seen == 0 {
		e.mean = waited
		e.deviation = waited / 2
	} else {
		off := (waited - e.mean).Abs()
		e.deviation += time.Duration(gainDeviation * float64(off-e.deviation))
		e.mean += time.Duration(gainMean * float64(waited-e.mean))
	}
	e.seen++
}

// Usual is the time beyond which a wait is out of the ordinary, or false while too little is known.
func (e *Estimator) Usual() (time.Duration, bool) {
	return e.mean + max(deviations*e.deviation, leastMargin), e.seen >= leastSeen
}

// Limit is how long a request that has so much time left may wait, or false if it is not to be given up. A request within its
// target is never given up.
func (e *Estimator) Limit(target, left time.Duration) (time.Duration, bool) {
	usual, known := e.Usual()
	if !known || e.allowance < 1 {
		return 0, false
	}
	limit := max(usual, target)
	return limit, float64(limit) <= usefulShare*float64(left)
}

const (
	// leastSilence, silenceTargets and silencePauses say when clients abandon a stream that is silent: after the longest of a
	// time, so many targets for the first event, and so many of the longest pauses that stay in time.
	leastSilence   = 2 * time.Second
	silenceTargets = 4
	silencePauses  = 8
)

// UntilAbandoned is how long a client waits for a stream that stays silent, within the time that it has left.
func UntilAbandoned(target, pause, left time.Duration) time.Duration {
	return min(left, max(leastSilence, silenceTargets*target, silencePauses*pause))
}
