package faultsim

import (
	"otterseam/tier/consensus"
	"otterseam/tier/directory"
)

// Bugs are defects put into the machines, to see that a simulation finds them.
type Bugs struct {
	KeepIdentity bool // a machine that lost its disk keeps its identity
	EarlyDurable bool // a write counts as durable when it is begun
}

// ShardBugs are defects put into a shard, to see that its simulation finds them.
type ShardBugs struct {
	Bugs
	NoMinInSync       bool // the view demands no number of in-sync replicas
	AdmitLate         bool // commands don't wait for a replica before the map admits it
	AdmitLagging      bool // a replica is admitted whatever it holds
	AnyReplicaLeads   bool // any replica may lead, in sync or not
	IgnoreInSyncFloor bool // silent replicas leave the in-sync set however few remain
	SilenceIsDiskLoss bool // a silent store counts as one whose disk is lost
	LeaveWithoutDrain bool // a process that is stopped ends at once, and its machine goes for good
	RetireEarly       bool // a machine goes for good when it no longer leads
}

// ControlBugs are defects put into control, to see that its simulation finds them.
type ControlBugs struct {
	Bugs
	NoMinInSync      bool // no number of in-sync replicas is demanded
	AdmitLagging     bool // a replica is admitted whatever it holds
	NewMembersInSync bool // who takes the vote of a lost disk counts as in sync at once
	IgnoreDiskLoss   bool // a lost disk blocks the decisions that wait for its vote
	IgnoreOwnChange  bool // a primary goes on under the view before a change of its own whose decision it didn't hear of
	AnyMemberLeads   bool // a member that is not in sync takes over
}

// withBugs puts defects into a decision.
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

// withBugs puts defects into a record.
func (p *process) withBugs(next consensus.Record) consensus.Record {
	if p.sim.options.Bugs.NoMinInSync {
		next.MinInSync = 0
	}
	return next
}

// newMembersInSync is a defect: new members count as in sync.
func newMembersInSync(before, next consensus.Record) consensus.Record {
	for _, member := range next.Members {
		if !consensus.HasMember(before.Members, member.ID) && !next.IsInSync(member.ID) {
			next.InSync = append(append([]uint64(nil), next.InSync...), member.ID)
		}
	}
	return next
}
