package placement

import (
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// Place returns the initial view of a new shard, or false while too few machines are alive.
func (c Cluster) Place(id uint32) (directory.Shard, bool) {
	desired := c.Desired(id)
	if len(desired) <= c.Tolerate {
		return directory.Shard{}, false
	}
	for _, each := range desired {
		if !c.Machines[each].Alive {
			return directory.Shard{}, false
		}
	}
	primary := c.Machines[desired[0]].Store
	view := replica.View{
		Epoch:     1,
		Primary:   primary.Identity,
		InSync:    desired,
		Replicas:  desired,
		MinInSync: replica.MinInSync(c.Tolerate, len(desired)),
	}
	return directory.Shard{ID: id, Total: ShardCount, View: view, PrimaryIncarnation: primary.Incarnation}, true
}
