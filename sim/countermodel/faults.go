package countermodel

import "maps"

// The sums of the counter after a fault, as named in scenarios. Any other value keeps all sums.
const (
	restoreEmpty    = "empty"
	restoreSnapshot = "old"
)

// Snapshot saves the current sums, which Restore can bring back.
func (c *Counter) Snapshot() {
	var sums []map[uint64]sum
	for _, each := range c.replicas[mainReplica] {
		sums = append(sums, maps.Clone(each.sums))
	}
	c.snapshots = append(c.snapshots, sums)
}

// Restore sets the sums of the counter after a fault: "kept" keeps them, "empty" clears them, and "old" restores the last Snapshot.
func (c *Counter) Restore(how string) {
	replica := c.replicas[mainReplica]
	for i := range replica {
		replica[i].freeAt = c.queue.Now()
		switch {
		case how == restoreEmpty:
			replica[i].sums = map[uint64]sum{}
		case how == restoreSnapshot && len(c.snapshots) > 0:
			replica[i].sums = maps.Clone(c.snapshots[len(c.snapshots)-1][i])
		}
	}
}

// The methods below begin a fault, or end one that began with the same arguments. Faults may overlap and end in any order.

// Silence leaves all calls unanswered.
func (c *Counter) Silence(begin bool) { c.silences += delta(begin) }

// RefuseConnections refuses all connections.
func (c *Counter) RefuseConnections(begin bool) { c.refusals += delta(begin) }

// Split creates a second replica with the same sums. When the fault ends, only the main replica's sums remain.
func (c *Counter) Split(begin bool) {
	c.splits += delta(begin)
	if !begin || c.splits != 1 {
		return
	}
	for i := range c.replicas[splitReplica] {
		c.replicas[splitReplica][i] = partition{
			freeAt: c.queue.Now(),
			sums:   maps.Clone(c.replicas[mainReplica][i].sums),
		}
	}
}

// Takeover rejects the calls for a share of the names, selected by salt, while they have no leader. Their sums are not lost.
func (c *Counter) Takeover(salt uint64, share float64, begin bool) {
	if begin {
		c.leaderlessShares[salt] = share
	} else {
		delete(c.leaderlessShares, salt)
	}
}

// ScaleCapacity multiplies the counter's capacity by factor.
func (c *Counter) ScaleCapacity(factor float64, begin bool) { c.capacityFactors.Toggle(factor, begin) }

// DropAnswers makes the counter answer only a share of the calls that it processes.
func (c *Counter) DropAnswers(answered float64, begin bool) { c.answeredShares.Toggle(answered, begin) }

// leaderless reports whether a takeover is in progress for a name.
func (c *Counter) leaderless(name uint64) bool {
	for salt, share := range c.leaderlessShares {
		if hashToUnit(name^salt) < share {
			return true
		}
	}
	return false
}

// hashToUnit maps numbers evenly to the range from 0 to 1, by Fibonacci hashing (multiplication by 2^64 over the golden ratio).
func hashToUnit(x uint64) float64 {
	const goldenRatio64 = 0x9e3779b97f4a7c15
	const mantissaBits = 53
	return float64((x*goldenRatio64)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// delta returns the change in the number of faults in force when one begins or ends.
func delta(begin bool) int {
	if begin {
		return 1
	}
	return -1
}
