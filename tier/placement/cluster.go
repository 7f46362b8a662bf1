package placement

import (
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// ShardCount is how many shards a cluster is bootstrapped with. It never changes: the shard of a key follows from it.
const ShardCount = 24

// Machine is a store machine as control sees it now.
type Machine struct {
	Store       directory.Store
	Alive       bool // its session holds
	Unconfirmed bool // it counts as alive only because this primary is new: it has not been heard yet
	Away        bool // silent for so long that its replicas are placed elsewhere
	Draining    bool // it is about to stop: it leads nothing
	Retiring    bool // it is to be emptied
}

// isConfirmed tells whether the machine's own heartbeats hold its session.
func (m Machine) isConfirmed() bool { return m.Alive && !m.Unconfirmed }

// Cluster is what placement decides from.
type Cluster struct {
	Machines map[uint64]Machine
	Tolerate int // machines whose loss at once has to be borne
}

// ReplicationFactor is how many replicas a shard has where there are enough machines: after the loss of as many as are tolerated,
// one more than those is left, so that none has to be taken out of the in-sync set below that.
func (c Cluster) ReplicationFactor() int { return 2*c.Tolerate + 1 }

// inSyncFloor is how many replicas stay in the in-sync set although their machine is silent: below the replicas that an
// acknowledgement needs, nothing would be gained by dropping one, and one that could lead would be lost.
func (c Cluster) inSyncFloor(view replica.View) int {
	return max(view.MinInSync, min(c.ReplicationFactor(), len(view.Replicas))-c.Tolerate)
}

// DiskLost tells whether a machine's disk is provably lost: the same machine is heard at the same address with another identity,
// which is drawn only on an empty disk, and the former identity is not heard. Another machine at the address proves nothing. That
// a new primary gives the former identity the benefit of the doubt is no sign of it.
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
