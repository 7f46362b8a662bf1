package replication

// maxClockStep is how far the group's clock goes on at most from one batch to the next, in seconds.
const maxClockStep = 1.0

// groupClock is what a leader stamps batches with. Its pace is that of the process's monotonic clock, its reading is the group's: clocks
// of servers that differ don't show, and while there is no leader it stands still, so that nothing expires unheard.
type groupClock struct {
	base  float64 // the group's clock at since
	since float64 // by the process's clock
	last  float64 // reading that was given last
	known bool    // in this leadership
}

// next returns the reading for the next batch, after the state that was applied last has that of applied.
func (c *groupClock) next(now, applied float64) float64 {
	if !c.known {
		*c = groupClock{base: applied, since: now, last: applied, known: true}
	}
	reading := max(c.last, c.base+now-c.since)
	if reading > c.last+maxClockStep { // this process stood still, or nothing was submitted for long
		reading = c.last + maxClockStep
		c.base = reading
		c.since = now
	}
	c.last = reading
	return reading
}
