package membership

import (
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Policy is what the group has to bear.
type Policy struct {
	Tolerate int // members whose loss at once has to be borne
}

// Voters is how many members the group has where there are enough processes: more than half are left after the tolerated losses.
func (p Policy) Voters() int { return 2*p.Tolerate + 1 }

// maxLearners is how many spares hold a replica without a vote.
func (p Policy) maxLearners() int { return max(1, p.Tolerate) }

// InSyncFloor is how many members stay in the in-sync set although they are silent.
func (p Policy) InSyncFloor(record consensus.Record) int {
	return max(1, record.MinInSync, min(p.Voters(), len(record.Members))-p.Tolerate)
}

// WithMinInSync raises the replicas that an acknowledgement needs to what the members allow, once so many are in sync. They are
// never lowered: what was promised of an acknowledgement holds on when members leave.
func (p Policy) WithMinInSync(record consensus.Record) consensus.Record {
	wanted := replica.MinInSync(p.Tolerate, len(record.Members))
	if wanted > record.MinInSync && len(record.InSync) >= wanted {
		record.MinInSync = wanted
	}
	return record
}

// InitialRecord is the first record of a group.
func (p Policy) InitialRecord(primary uint64, members []consensus.Member) consensus.Record {
	record := consensus.Record{Epoch: 1, Primary: primary, Members: members}
	for _, member := range members {
		record.InSync = append(record.InSync, member.ID)
	}
	return p.WithMinInSync(record)
}

// Successor is the record of the next epoch under another primary. Replicas whose disk is lost leave the in-sync set in any case;
// the former primary leaves it unless too few would remain.
func (p Policy) Successor(current consensus.Record, primary uint64, lost func(uint64) bool) consensus.Record {
	next := current
	next.Epoch++
	next.Primary = primary
	next.InSync = nil
	for _, id := range current.InSync {
		if id == primary || !lost(id) {
			next.InSync = append(next.InSync, id)
		}
	}
	if current.Primary != primary && len(next.InSync) > p.InSyncFloor(current) {
		next.InSync = consensus.Without(next.InSync, current.Primary)
	}
	return next
}

// View is how the replicas see a record.
func View(record consensus.Record) replica.View {
	view := replica.View{Epoch: record.Epoch, Primary: record.Primary, InSync: record.InSync, MinInSync: record.MinInSync}
	for _, member := range record.Replicas() {
		view.Replicas = append(view.Replicas, member.ID)
		if !consensus.HasMember(record.Members, member.ID) {
			view.Learners = append(view.Learners, member.ID)
		}
	}
	return view
}
