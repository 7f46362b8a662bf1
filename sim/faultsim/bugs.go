package faultsim

import (
	"otterseam/tier/consensus"
	"otterseam/tier/directory"
)

// Bugs selects defects to inject into the machines, to verify that a simulation detects them.
type Bugs struct {
	KeepIdentity bool // a machine that lost its disk keeps its identity
	EarlyDurable bool // a write counts as durable when it starts
}

// ShardBugs selects defects to inject into a shard, to verify that its simulation detects them.
type ShardBugs struct {
	Bugs
	NoMinInSync       bool // the view requires no minimum number of in-sync replicas
	AdmitLate         bool // commits don't wait for a replica until the map admits it
	AdmitLagging      bool // a replica is admitted however far it lags
	AnyReplicaLeads   bool // any replica may become primary, in sync or not
	IgnoreInSyncFloor bool // silent replicas are removed from the in-sync set however few remain
	SilenceIsDiskLoss bool // a silent store counts as one whose disk is lost
	LeaveWithoutDrain bool // a process that is stopped ends at once, and its machine is removed
	RetireEarly       bool // a retiring machine is removed as soon as it is not the primary
}

// ControlBugs selects defects to inject into control, to verify that its simulation detects them.
type ControlBugs struct {
	Bugs
	NoMinInSync      bool // no minimum number of in-sync replicas is required
	AdmitLagging     bool // a replica is admitted however far it lags
	NewMembersInSync bool // a member that replaces the vote of a lost disk counts as in sync at once
	IgnoreDiskLoss   bool // a lost disk blocks the decisions that wait for its vote
	IgnoreOwnChange  bool // a primary keeps its view if it didn't learn that a change of its own was decided
	AnyMemberLeads   bool // a member that is not in sync may take over
}

// withBugs injects defects into a new placement.
func (s *shardSimulation) withBugs(next directory.Shard) directory.Shard {
	if s.options.Bugs.IgnoreInSyncFloor {
		for _, id := range next.View.InSync {
			if !s.cluster().Machines[id].Alive && id != next.View.Primary {
				next.View.InSync = consensus.Without(next.View.InSync, id)
			}
		}
	}
	if s.options.Bugs.AnyReplicaLeads && next.View.Primary != s.shard.View.Primary {
		for _, id := range next.View.Replicas {
			if s.cluster().Machines[id].Alive {
				next.View.Primary = id
				next.PrimaryIncarnation = s.stores[id].Incarnation
			}
		}
	}
	return next
}

// withBugs injects defects into a record.
func (p *process) withBugs(next consensus.Record) consensus.Record {
	if p.sim.options.Bugs.NoMinInSync {
		next.MinInSync = 0
	}
	return next
}

// newMembersInSync injects the defect that new members count as in sync.
func newMembersInSync(before, next consensus.Record) consensus.Record {
	for _, member := range next.Members {
		if !consensus.HasMember(before.Members, member.ID) && !next.IsInSync(member.ID) {
			next.InSync = append(append([]uint64(nil), next.InSync...), member.ID)
		}
	}
	return next
}
