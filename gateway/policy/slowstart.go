package policy

const (
	// minWarmUp is the least length of a warm-up, in seconds. It avoids a division by zero.
	minWarmUp = 0.001
	// coldAttemptCost is the cumulative capacity of a starting host that is reserved for each attempt of the whole fleet, as a
	// multiple of the mean latency, at an overload factor of fullOverloadFactor or more. Below that factor it is larger.
	coldAttemptCost    = 0.5
	fullOverloadFactor = 2
	// releasesPerSend is the number of attempts that may be sent per interval in which one is chosen. It is above 1 to let attempts
	// that have waited for their connections catch up.
	releasesPerSend = 2
)

// warmUp limits the attempts to a starting host. They are spaced by the host's cumulative capacity instead of by time.
type warmUp struct {
	startedAt           float64 // clock time of its last start; 0: long ago
	nextSendCapacity    float64 // cumulative capacity at which the next attempt may be chosen
	nextReleaseCapacity float64 // cumulative capacity at which the next attempt may be sent once its connection is up
}

// warmUpFraction returns the progress of a host's warm-up: from 0 at its start to 1.
func (s *SlowStart) warmUpFraction(now, startedAt float64) float64 {
	if startedAt <= 0 {
		return 1
	}
	return min(1, max(0, (now-startedAt)/max(s.Duration, minWarmUp)))
}

// capacity returns a host's current capacity as a fraction of its full capacity.
func (s *SlowStart) capacity(now, startedAt float64) float64 {
	return s.InitialCapacity + (1-s.InitialCapacity)*s.warmUpFraction(now, startedAt)
}

// cumulativeCapacity returns the integral of a host's capacity since its start, in seconds of its full capacity.
func (s *SlowStart) cumulativeCapacity(now, startedAt float64) float64 {
	return (now - startedAt) * (s.InitialCapacity + (1-s.InitialCapacity)*s.warmUpFraction(now, startedAt)/2)
}

// capacityGap returns the cumulative capacity of a starting host between two attempts from this instance. Each of the configured
// instances has an equal share of the host's capacity. The first attempt waits for a random part of the gap.
func (g *Gateway) capacityGap() float64 {
	return coldAttemptCost * g.meanLatency * g.peers.configured / min(1, g.slowStart.OverloadFactor/fullOverloadFactor)
}
