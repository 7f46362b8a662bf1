package placement

import (
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// primary chooses who leads: the present primary while it can, else the fittest in-sync replica that is alive; 0 if there is none.
func (c Cluster) primary(shard directory.Shard, next replica.View, desired []uint64) uint64 {
	present := c.Machines[next.Primary]
	moved := !slices.Contains(desired, next.Primary) && allIn(next.InSync, desired)
	canLead := slices.Contains(next.InSync, next.Primary) && present.Alive && present.Store.Incarnation == shard.PrimaryIncarnation
	if canLead && !moved && !present.Draining {
		return next.Primary
	}
	fittest := c.fittestPrimary(next.InSync, desired)
	if canLead && (fittest == 0 || c.Machines[fittest].Draining) {
		return next.Primary // one that drains too would only hand it on
	}
	return fittest
}

// What speaks for a replica as the next primary. Each counts more than those below it together.
const (
	staysScore     = 4 // its machine is not draining
	desiredScore   = 2 // it is to keep the shard
	preferredScore = 1 // it is the first of the desired ones
)

// fittestPrimary is the replica of the in-sync set that should lead, the first of several alike; 0 if none is alive.
func (c Cluster) fittestPrimary(inSync, desired []uint64) uint64 {
	fittest := uint64(0)
	highest := -1
	for _, id := range inSync {
		if !c.Machines[id].Alive {
			continue
		}
		if score := c.primaryScore(id, desired); score > highest {
			fittest = id
			highest = score
		}
	}
	return fittest
}

func (c Cluster) primaryScore(id uint64, desired []uint64) int {
	score := 0
	if !c.Machines[id].Draining {
		score += staysScore
	}
	if slices.Contains(desired, id) {
		score += desiredScore
	}
	if len(desired) > 0 && desired[0] == id {
		score += preferredScore
	}
	return score
}
