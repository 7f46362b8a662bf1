package placement

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// ChangeInSync adds a replica to a shard's in-sync set, or removes it, at the request of the shard's primary. Its second result
// reports whether the change is allowed.
func (c Cluster) ChangeInSync(shard directory.Shard, id uint64, admit bool) (directory.Shard, bool) {
	next := shard
	next.View.Epoch++
	next.View.InSync = consensus.Without(shard.View.InSync, id)
	if !admit {
		return next, c.MayDrop(shard.View, id)
	}
	next.View.InSync = append(next.View.InSync, id)
	return next, slices.Contains(shard.View.Replicas, id) && c.Machines[id].Alive
}

// MayDrop reports whether a primary may remove a replica that does not respond to it from the in-sync set.
func (c Cluster) MayDrop(view replica.View, id uint64) bool {
	if !slices.Contains(view.InSync, id) {
		return true
	}
	return len(view.InSync)-1 >= max(1, c.inSyncFloor(view))
}
