package placement

import (
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// ShardCount is the number of shards that a cluster is bootstrapped with. It never changes, because it determines the shard of a key.
const ShardCount = 24

// Machine is the current state of a store machine as control knows it.
type Machine struct {
	Store       directory.Store
	Alive       bool // its session is valid
	Unconfirmed bool // it counts as alive only because this primary of control is new and has not received its heartbeat yet
	Away        bool // it has been silent for so long that its replicas are placed on other machines
	Draining    bool // it is about to stop and must not be the primary of any shard
	Retiring    bool // its replicas are to be moved to other machines
}

// isConfirmed reports whether the machine's session is based on its own heartbeats.
func (m Machine) isConfirmed() bool { return m.Alive && !m.Unconfirmed }

// Cluster is the input of placement decisions.
type Cluster struct {
	Machines map[uint64]Machine
	Tolerate int // number of machines whose simultaneous loss the cluster must survive
}

// ReplicationFactor returns how many replicas a shard has if there are enough machines. After the loss of Tolerate machines,
// Tolerate+1 replicas are left, so that the in-sync set does not have to shrink below that.
func (c Cluster) ReplicationFactor() int { return 2*c.Tolerate + 1 }

// inSyncFloor returns the size down to which replicas on silent machines are dropped from the in-sync set. Dropping one more would
// leave fewer replicas than an acknowledgement needs: nothing would be gained, and a replica that could become the primary would be
// lost.
func (c Cluster) inSyncFloor(view replica.View) int {
	return max(view.MinInSync, min(c.ReplicationFactor(), len(view.Replicas))-c.Tolerate)
}

// DiskLost reports whether the disk of a machine is provably lost: the same machine sends heartbeats from the same address with a
// different identity, which is generated only on an empty disk, and none with its former identity. A different machine at that
// address is no proof. A former identity that is merely unconfirmed, because the primary of control is new, does not count as
// sending heartbeats.
func (c Cluster) DiskLost(id uint64) bool {
	lost, known := c.Machines[id]
	if !known || lost.isConfirmed() {
		return false
	}
	for other, machine := range c.Machines {
		sameMachine := machine.Store.Address == lost.Store.Address && machine.Store.Node == lost.Store.Node
		if other != id && sameMachine && machine.isConfirmed() {
			return true
		}
	}
	return false
}
