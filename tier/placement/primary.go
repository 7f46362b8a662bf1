package placement

import (
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// primary returns the machine that is to be the primary: the current primary while it can lead, otherwise the in-sync replica on a
// live machine with the highest score, or 0 if there is none.
func (c Cluster) primary(shard directory.Shard, next replica.View, desired []uint64) uint64 {
	current := c.Machines[next.Primary]
	moved := !slices.Contains(desired, next.Primary) && allIn(next.InSync, desired)
	canLead := slices.Contains(next.InSync, next.Primary) && current.Alive && current.Store.Incarnation == shard.PrimaryIncarnation
	if canLead && !moved && !current.Draining {
		return next.Primary
	}
	best := c.bestPrimary(next.InSync, desired)
	if canLead && (best == 0 || c.Machines[best].Draining) {
		return next.Primary // a successor that is draining too would have to hand over again
	}
	return best
}

// Scores of a replica as the next primary. Each score exceeds the sum of those below it.
const (
	notDrainingScore = 4 // its machine is not draining
	desiredScore     = 2 // its machine is one of the desired ones, so it keeps the shard
	preferredScore   = 1 // its machine is the first of the desired ones
)

// bestPrimary returns the in-sync replica with the highest score, the first one if several are equal, or 0 if none is alive.
func (c Cluster) bestPrimary(inSync, desired []uint64) uint64 {
	best := uint64(0)
	highest := -1
	for _, id := range inSync {
		if !c.Machines[id].Alive {
			continue
		}
		if score := c.primaryScore(id, desired); score > highest {
			best = id
			highest = score
		}
	}
	return best
}

// primaryScore returns the score of a replica as the next primary.
func (c Cluster) primaryScore(id uint64, desired []uint64) int {
	score := 0
	if !c.Machines[id].Draining {
		score += notDrainingScore
	}
	if slices.Contains(desired, id) {
		score += desiredScore
	}
	if len(desired) > 0 && desired[0] == id {
		score += preferredScore
	}
	return score
}
