package replication

// maxClockStep is the maximum by which the group's clock advances from one batch to the next, in seconds.
const maxClockStep = 1.0

// groupClock gives the clock readings with which a leader stamps batches. It starts at the clock of the group's state and advances at
// the rate of the process's monotonic clock, so that differences between the servers' clocks have no effect. It stops while there is
// no leader, so that nothing expires while holders can't renew their leases.
type groupClock struct {
	base  float64 // reading at since
	since float64 // time of the process's clock
	last  float64 // last reading returned
	known bool    // whether the fields above are set for the present leadership
}

// next returns the reading for the next batch. applied is the clock of the state after the last applied batch.
func (c *groupClock) next(now, applied float64) float64 {
	if !c.known {
		*c = groupClock{base: applied, since: now, last: applied, known: true}
	}
	reading := max(c.last, c.base+now-c.since)
	if reading > c.last+maxClockStep { // this process was suspended, or no batch was proposed for long
		reading = c.last + maxClockStep
		c.base = reading
		c.since = now
	}
	c.last = reading
	return reading
}
