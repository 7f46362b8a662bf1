package placement

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// view returns a view with the given number of replicas in sync.
func view(inSync int) replica.View {
	v := replica.View{MinInSync: 2}
	for id := range uint64(inSync) {
		v.InSync = append(v.InSync, id+1)
	}
	return v
}

// Repairs begin with the shards that tolerate the fewest losses.
func TestLeastProtectedShardsComeFirst(t *testing.T) {
	shards := map[uint32]directory.Shard{1: {ID: 1, View: view(3)}, 2: {ID: 2, View: view(1)}, 3: {ID: 3, View: view(2)}, 4: {ID: 4, View: view(1)}}
	var order []uint32
	for _, shard := range LeastProtectedFirst(shards) {
		order = append(order, shard.ID)
	}
	if len(order) != 4 || order[0] != 2 || order[1] != 4 || order[2] != 3 || order[3] != 1 {
		t.Fatalf("order %v", order)
	}
}
