package placement

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// A machine may go for good once every shard has all its replicas on others, not when it is merely empty.
func TestARetiredMachineIsNeededUntilAllReplicasAreElsewhere(t *testing.T) {
	c := Cluster{Machines: machines(4, 4), Tolerate: 1}
	shard, _ := c.Place(1)
	retiring := shard.View.InSync[0]
	change(c, retiring, func(m *Machine) { m.Retiring = true })
	shard = converge(t, c, shard)
	shards := map[uint32]directory.Shard{1: shard}
	if !c.IsRetired(shards, retiring) {
		t.Fatalf("not retired: %+v", shard.View)
	}
	short := shard
	short.View.InSync = shard.View.InSync[:2]
	if c.IsRetired(map[uint32]directory.Shard{1: short}, retiring) {
		t.Fatal("retired while a copy is missing")
	}
}

// A machine that is draining is needed while it leads or holds a replica that another is still to get.
func TestWhenAMachineIsNeeded(t *testing.T) {
	shard := directory.Shard{ID: 1, View: replica.View{Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}}
	shards := map[uint32]directory.Shard{1: shard}
	if !IsNeeded(shards, 1) || !IsNeeded(shards, 2) || IsNeeded(shards, 3) {
		t.Fatalf("needed: %v %v %v", IsNeeded(shards, 1), IsNeeded(shards, 2), IsNeeded(shards, 3))
	}
	shard.View.InSync = []uint64{1, 2, 3}
	shards[1] = shard
	if !IsNeeded(shards, 1) || IsNeeded(shards, 2) {
		t.Fatalf("with all copies: %v %v", IsNeeded(shards, 1), IsNeeded(shards, 2))
	}
}
