package placement

import (
	"testing"

	"otterseam/tier/directory"
)

// MinInSync of a shard is set at its placement to one more than the tolerated losses, and later views keep it.
func TestShardKeepsItsMinInSync(t *testing.T) {
	for tolerate := range 3 {
		c := Cluster{Machines: machines(2*tolerate+1, 3), Tolerate: tolerate}
		shard, _ := c.Place(1)
		if shard.View.MinInSync != tolerate+1 {
			t.Fatalf("tolerate %d: MinInSync is %d", tolerate, shard.View.MinInSync)
		}
		decoded, err := directory.DecodeShard(shard.Encode())
		if err != nil || decoded.View.MinInSync != tolerate+1 {
			t.Fatalf("decoded %+v, error %v", decoded, err)
		}
		lost := shard.View.InSync[len(shard.View.InSync)-1]
		if len(shard.View.InSync) > 1 {
			delete(c.Machines, lost)
			if next, _ := c.Next(shard); next.View.MinInSync != tolerate+1 || next.View.IsInSync(lost) {
				t.Fatalf("%+v", next.View)
			}
		}
	}
}

// On two machines that must tolerate the loss of one, a silent replica stays in the in-sync set, because nothing could be
// acknowledged without it.
func TestSilentReplicaStaysIfMinInSyncNeedsIt(t *testing.T) {
	c := Cluster{Machines: machines(2, 2), Tolerate: 1}
	shard, _ := c.Place(1)
	silent := shard.View.InSync[1]
	change(c, silent, func(m *Machine) { m.Alive = false })
	if next, changed := c.Next(shard); changed {
		t.Fatalf("%+v", next.View)
	}
	if c.MayDrop(shard.View, silent) {
		t.Fatal("a primary may drop the only other replica")
	}
}

// A disk is provably lost if the same machine sends heartbeats from the same address with a different identity.
func TestProofOfALostDisk(t *testing.T) {
	c := Cluster{Machines: machines(3, 3), Tolerate: 1}
	change(c, 1, func(m *Machine) { m.Alive = false; m.Store.Address = "x" })
	if c.DiskLost(1) {
		t.Fatal("silence counts as proof of a lost disk")
	}
	other := directory.Store{Identity: 9, Incarnation: 1, Node: "store-9", Address: "x", Zone: "z0"}
	c.Machines[9] = Machine{Store: other, Alive: true}
	if c.DiskLost(1) {
		t.Fatal("a different machine at the address counts as proof")
	}
	other.Node = "store-1"
	c.Machines[9] = Machine{Store: other, Alive: true}
	if !c.DiskLost(1) || c.DiskLost(9) {
		t.Fatal("a new identity of the same machine is not accepted as proof")
	}
	change(c, 1, func(m *Machine) { m.Alive = true })
	if c.DiskLost(1) {
		t.Fatal("the disk of a store that sends heartbeats counts as lost")
	}
	change(c, 1, func(m *Machine) { m.Unconfirmed = true })
	if !c.DiskLost(1) {
		t.Fatal("an unconfirmed session, as after a power failure of all machines, delays the repair of a lost disk")
	}
	change(c, 9, func(m *Machine) { m.Unconfirmed = true })
	if c.DiskLost(1) || c.DiskLost(9) {
		t.Fatal("an unconfirmed machine counts as proof of a lost disk")
	}
}

// If all replicas are draining, the primary does not hand over to another one.
func TestDrainingMachinesDoNotHandOverToEachOther(t *testing.T) {
	c := Cluster{Machines: machines(3, 3), Tolerate: 1}
	for id := range uint32(ShardCount) {
		shard, _ := c.Place(id)
		for machine := range c.Machines {
			change(c, machine, func(m *Machine) { m.Draining = true })
		}
		for _, primary := range shard.View.InSync {
			shard.View.Primary = primary
			shard.PrimaryIncarnation = c.Machines[primary].Store.Incarnation
			if next, _ := c.Next(shard); next.View.Primary != primary {
				t.Fatalf("shard %d: %d handed over to %d, which is draining too", id, primary, next.View.Primary)
			}
		}
	}
}

// If two of three replicas are draining at the same time, the third becomes the primary.
func TestReplicaThatIsNotDrainingBecomesPrimary(t *testing.T) {
	c := Cluster{Machines: machines(3, 3), Tolerate: 1}
	shard, _ := c.Place(1)
	stays := shard.View.InSync[2]
	for _, id := range shard.View.InSync[:2] {
		change(c, id, func(m *Machine) { m.Draining = true })
	}
	if next, _ := c.Next(shard); next.View.Primary != stays {
		t.Fatalf("the primary is %d", next.View.Primary)
	}
}
