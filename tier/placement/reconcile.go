package placement

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// Next returns the next state of the shard and whether it differs from the current one. It takes at most one step of a move.
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

// remainingInSync returns the in-sync set without the replicas whose disk is lost. Replicas on silent machines are removed too, as
// long as the set does not shrink below its floor.
func (c Cluster) remainingInSync(view replica.View) []uint64 {
	var known []uint64
	for _, id := range view.InSync {
		if _, exists := c.Machines[id]; exists {
			known = append(known, id)
		}
	}
	if c.countSilent(known) > c.Tolerate {
		// All machines were stopped, or this process is partitioned. The first machine to return must not end up as the only
		// in-sync replica.
		return known
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

// countSilent returns the number of machines without a valid session.
func (c Cluster) countSilent(ids []uint64) int {
	count := 0
	for _, id := range ids {
		if !c.Machines[id].Alive {
			count++
		}
	}
	return count
}

// replicas returns the replicas with the desired live machines added. Other machines, except the primary, are removed once all
// desired ones are in sync.
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

// onlyIn returns the elements of ids that are in allowed.
func onlyIn(ids, allowed []uint64) []uint64 {
	var rest []uint64
	for _, id := range ids {
		if slices.Contains(allowed, id) {
			rest = append(rest, id)
		}
	}
	return rest
}

// allIn reports whether set contains all elements of wanted.
func allIn(set, wanted []uint64) bool {
	for _, id := range wanted {
		if !slices.Contains(set, id) {
			return false
		}
	}
	return true
}
