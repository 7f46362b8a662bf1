package policy

const (
	// minWarmUp keeps the division by a warm-up's length defined, in seconds.
	minWarmUp = 0.001
	// coldUse is the part of a starting host's capacity that is planned for, at an overload factor of fullFactor or more.
	coldUse    = 0.5
	fullFactor = 2
	// releasesPerSend is how many attempts may leave in the time in which one is chosen: they waited for their connections.
	releasesPerSend = 2
)

// warmUp is what a starting host may be sent. Time is told by its growth: the capacity that it has had so far, in seconds of
// its full capacity.
type warmUp struct {
	startedAt         float64 // clock time of its last start; 0: long ago
	nextSendGrowth    float64 // no attempt is chosen before
	nextReleaseGrowth float64 // no attempt that waited for its connection leaves before
}

// warmth is how far a host has warmed up: from 0 as it starts to 1.
func (s *SlowStart) warmth(now, startedAt float64) float64 {
	if startedAt <= 0 {
		return 1
	}
	return min(1, max(0, (now-startedAt)/max(s.Duration, minWarmUp)))
}

// capacity is the part of its capacity that a host has.
func (s *SlowStart) capacity(now, startedAt float64) float64 {
	return s.InitialCapacity + (1-s.InitialCapacity)*s.warmth(now, startedAt)
}

// growth is the capacity that a host has had since its start, in seconds of its full capacity.
func (s *SlowStart) growth(now, startedAt float64) float64 {
	return (now - startedAt) * (s.InitialCapacity + (1-s.InitialCapacity)*s.warmth(now, startedAt)/2)
}

// growthGap is the cold budget: how much a starting host grows between two attempts from this instance, whose part is that
// of one of all configured ones. The first of them waits for a part of the gap, by chance.
func (g *Gateway) growthGap() float64 {
	return coldUse * g.meanLatency * g.peers.configured / min(1, g.slowStart.OverloadFactor/fullFactor)
}
