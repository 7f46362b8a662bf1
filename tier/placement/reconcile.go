package placement

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// Next returns the shard as it should become, and whether it differs. At most one step of a move is taken at a time.
func (c Cluster) Next(shard directory.Shard) (directory.Shard, bool) {
	desired := c.Desired(shard.ID)
	view := shard.View
	next := view
	next.InSync = c.remainingInSync(view)
	if len(next.InSync) == 0 {
		return shard, false
	}
	next.Replicas = c.replicas(next, desired)
	next.InSync = onlyIn(next.InSync, next.Replicas)
	primary := c.primary(shard, next, desired)
	if primary == 0 {
		return shard, false
	}
	next.Primary = primary
	incarnation := c.Machines[primary].Store.Incarnation
	samePrimary := primary == view.Primary && incarnation == shard.PrimaryIncarnation
	if samePrimary && slices.Equal(next.InSync, view.InSync) && slices.Equal(next.Replicas, view.Replicas) {
		return shard, false
	}
	next.Epoch = view.Epoch + 1
	return directory.Shard{ID: shard.ID, Total: shard.Total, View: next, PrimaryIncarnation: incarnation}, true
}

// remainingInSync is the in-sync set without replicas whose disk is lost and, down to the floor, without silent ones.
func (c Cluster) remainingInSync(view replica.View) []uint64 {
	var known []uint64
	for _, id := range view.InSync {
		if _, exists := c.Machines[id]; exists {
			known = append(known, id)
		}
	}
	if c.countSilent(known) > c.Tolerate {
		return known // all were stopped, or this process cannot hear; whoever comes back first must not be left alone
	}
	floor := c.inSyncFloor(view)
	rest := known
	for _, id := range known {
		if !c.Machines[id].Alive && len(rest) > floor {
			rest = consensus.Without(rest, id)
		}
	}
	return rest
}

// countSilent counts the replicas whose session does not hold.
func (c Cluster) countSilent(ids []uint64) int {
	count := 0
	for _, id := range ids {
		if !c.Machines[id].Alive {
			count++
		}
	}
	return count
}

// replicas adds machines that should hold the shard, and removes others once all that should are in sync.
func (c Cluster) replicas(view replica.View, desired []uint64) []uint64 {
	var replicas []uint64
	for _, id := range view.Replicas {
		_, exists := c.Machines[id]
		if exists && (slices.Contains(desired, id) || !allIn(view.InSync, desired) || id == view.Primary) {
			replicas = append(replicas, id)
		}
	}
	for _, id := range desired {
		if !slices.Contains(replicas, id) && c.Machines[id].Alive {
			replicas = append(replicas, id)
		}
	}
	return replicas
}

// onlyIn is the list without what is not allowed.
func onlyIn(ids, allowed []uint64) []uint64 {
	var rest []uint64
	for _, id := range ids {
		if slices.Contains(allowed, id) {
			rest = append(rest, id)
		}
	}
	return rest
}

// allIn tells whether a set holds all that is wanted.
func allIn(set, wanted []uint64) bool {
	for _, id := range wanted {
		if !slices.Contains(set, id) {
			return false
		}
	}
	return true
}
