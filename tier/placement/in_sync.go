package placement

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// ChangeInSync takes a replica into a shard's in-sync set, or out of it, as the shard's primary asks. It reports false if the
// primary may not.
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

// MayDrop tells whether a replica may be taken out of the in-sync set because its primary does not hear it.
func (c Cluster) MayDrop(view replica.View, id uint64) bool {
	if !slices.Contains(view.InSync, id) {
		return true
	}
	return len(view.InSync)-1 >= max(1, c.inSyncFloor(view))
}
