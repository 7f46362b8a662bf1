package countermodel

import "maps"

// What the counter holds when it comes back, as scenarios name it. With any other word it holds all that it held.
const (
	restoreEmpty    = "empty"
	restoreSnapshot = "old"
)

// Snapshot keeps the sums of now, for a return with old ones.
func (c *Counter) Snapshot() {
	var sums []map[uint64]sum
	for _, each := range c.replicas[mainReplica] {
		sums = append(sums, maps.Clone(each.sums))
	}
	c.snapshots = append(c.snapshots, sums)
}

// Restore gives the counter the sums with which it comes back: "kept", "empty" or "old", those of the last Snapshot.
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

// The methods below begin a fault, or end one that began with the same arguments. Faults overlap and end in any order.

// Silence leaves all calls unanswered.
func (c *Counter) Silence(begin bool) { c.silences += delta(begin) }

// RefuseConnections refuses all connections.
func (c *Counter) RefuseConnections(begin bool) { c.refusals += delta(begin) }

// Split makes a second replica with the same sums. When it ends the main replica's sums stand.
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

// Takeover rejects the calls for a share of the names, drawn by salt, while nobody leads them. Nothing of their sums is lost.
func (c *Counter) Takeover(salt uint64, share float64, begin bool) {
	if begin {
		c.leaderlessShares[salt] = share
	} else {
		delete(c.leaderlessShares, salt)
	}
}

// ScaleCapacity leaves the counter a part of its capacity.
func (c *Counter) ScaleCapacity(factor float64, begin bool) { c.capacityFactors.Toggle(factor, begin) }

// DropAnswers lets the counter answer only a share of the calls that it carries out.
func (c *Counter) DropAnswers(answered float64, begin bool) { c.answeredShares.Toggle(answered, begin) }

// leaderless says whether a takeover is under way for a name.
func (c *Counter) leaderless(name uint64) bool {
	for salt, share := range c.leaderlessShares {
		if hashToUnit(name^salt) < share {
			return true
		}
	}
	return false
}

// hashToUnit spreads numbers evenly over 0 to 1 (Fibonacci hashing: 2^64 over the golden ratio).
func hashToUnit(x uint64) float64 {
	const goldenRatio64 = 0x9e3779b97f4a7c15
	const mantissaBits = 53
	return float64((x*goldenRatio64)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// delta is by how much a fault that begins or ends changes the count of those in force.
func delta(begin bool) int {
	if begin {
		return 1
	}
	return -1
}
