package placement

import (
	"testing"

	"otterseam/tier/directory"
)

// A shard demands one replica more than losses are tolerated from its placement on, and keeps the demand whatever becomes of it.
func TestAShardKeepsItsMinInSync(t *testing.T) {
	for tolerate := range 3 {
		c := Cluster{Machines: machines(2*tolerate+1, 3), Tolerate: tolerate}
		shard, _ := c.Place(1)
		if shard.View.MinInSync != tolerate+1 {
			t.Fatalf("tolerate %d: %d copies", tolerate, shard.View.MinInSync)
		}
		decoded, err := directory.DecodeShard(shard.Encode())
		if err != nil || decoded.View.MinInSync != tolerate+1 {
			t.Fatalf("read %+v, %v", decoded, err)
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

// On two machines that have to bear the loss of one, a silent replica stays in the set: nothing could be acknowledged without it.
func TestASilentReplicaStaysWhereMinInSyncNeedsIt(t *testing.T) {
	c := Cluster{Machines: machines(2, 2), Tolerate: 1}
	shard, _ := c.Place(1)
	silent := shard.View.InSync[1]
	change(c, silent, func(m *Machine) { m.Alive = false })
	if next, changed := c.Next(shard); changed {
		t.Fatalf("%+v", next.View)
	}
	if c.MayDrop(shard.View, silent) {
		t.Fatal("a primary may drop the only other copy")
	}
}

// What proves that a disk is lost: the same machine, at its address, under another identity.
func TestWhatProvesThatADiskIsLost(t *testing.T) {
	c := Cluster{Machines: machines(3, 3), Tolerate: 1}
	change(c, 1, func(m *Machine) { m.Alive = false; m.Store.Address = "x" })
	if c.DiskLost(1) {
		t.Fatal("silence counts as a lost disk")
	}
	other := directory.Store{Identity: 9, Incarnation: 1, Node: "store-9", Address: "x", Zone: "z0"}
	c.Machines[9] = Machine{Store: other, Alive: true}
	if c.DiskLost(1) {
		t.Fatal("another machine at the address counts as proof")
	}
	other.Node = "store-1"
	c.Machines[9] = Machine{Store: other, Alive: true}
	if !c.DiskLost(1) || c.DiskLost(9) {
		t.Fatal("an empty disk in the same machine is no proof")
	}
	change(c, 1, func(m *Machine) { m.Alive = true })
	if c.DiskLost(1) {
		t.Fatal("a store that is heard counts as lost")
	}
	change(c, 1, func(m *Machine) { m.Unconfirmed = true })
	if !c.DiskLost(1) {
		t.Fatal("the benefit of the doubt, after all were without power, holds up the repair of a lost disk")
	}
	change(c, 9, func(m *Machine) { m.Unconfirmed = true })
	if c.DiskLost(1) || c.DiskLost(9) {
		t.Fatal("one that was not heard proves something")
	}
}

// Of replicas that all leave, none takes the lead from another.
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
				t.Fatalf("shard %d: %d handed over to %d, which leaves too", id, primary, next.View.Primary)
			}
		}
	}
}

// Of two that leave at once, the third leads.
func TestTheOneThatStaysLeads(t *testing.T) {
	c := Cluster{Machines: machines(3, 3), Tolerate: 1}
	shard, _ := c.Place(1)
	stays := shard.View.InSync[2]
	for _, id := range shard.View.InSync[:2] {
		change(c, id, func(m *Machine) { m.Draining = true })
	}
	if next, _ := c.Next(shard); next.View.Primary != stays {
		t.Fatalf("%d leads", next.View.Primary)
	}
}
