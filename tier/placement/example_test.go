package placement_test

import (
	"fmt"

	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// A shard is placed in three zones. When its primary's machine is no longer alive, an in-sync replica becomes the primary.
func ExampleCluster_Next() {
	cluster := placement.Cluster{Machines: map[uint64]placement.Machine{}, Tolerate: 1}
	for id := uint64(1); id <= 3; id++ {
		store := directory.Store{Identity: id, Node: fmt.Sprint("store-", id), Zone: fmt.Sprint("zone-", id)}
		cluster.Machines[id] = placement.Machine{Store: store, Alive: true}
	}
	shard, placed := cluster.Place(1)
	fmt.Println(placed, "in sync:", len(shard.View.InSync))

	first := shard.View.Primary
	silent := cluster.Machines[first]
	silent.Alive = false
	cluster.Machines[first] = silent
	next, changed := cluster.Next(shard)
	fmt.Println(changed, "epoch:", next.View.Epoch, "in sync:", len(next.View.InSync), "led by another:", next.View.Primary != first)
	// Output:
	// true in sync: 3
	// true epoch: 2 in sync: 2 led by another: true
}
