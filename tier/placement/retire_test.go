package placement

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// A machine may be removed once every shard has all its replicas in sync on other machines. It is not enough that it is empty.
func TestMachineIsNotRetiredUntilAllReplicasAreElsewhere(t *testing.T) {
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
		t.Fatal("the machine counts as retired while a replica is missing")
	}
}

// A draining machine is needed while it is the primary of a shard or holds an in-sync replica that another machine still has to
// replace.
func TestDrainingMachineIsNeeded(t *testing.T) {
	shard := directory.Shard{ID: 1, View: replica.View{Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}}
	shards := map[uint32]directory.Shard{1: shard}
	if !IsNeeded(shards, 1) || !IsNeeded(shards, 2) || IsNeeded(shards, 3) {
		t.Fatalf("needed: %v %v %v", IsNeeded(shards, 1), IsNeeded(shards, 2), IsNeeded(shards, 3))
	}
	shard.View.InSync = []uint64{1, 2, 3}
	shards[1] = shard
	if !IsNeeded(shards, 1) || IsNeeded(shards, 2) {
		t.Fatalf("needed with all replicas in sync: %v %v", IsNeeded(shards, 1), IsNeeded(shards, 2))
	}
}
