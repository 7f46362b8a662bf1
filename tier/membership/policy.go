package membership

import (
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Policy is the fault tolerance that the group has to provide.
type Policy struct {
	Tolerate int // number of members whose simultaneous loss has to be tolerated
}

// Voters returns the number of members that the group has if there are enough processes. More than half of them remain after the
// tolerated losses.
func (p Policy) Voters() int { return 2*p.Tolerate + 1 }

// maxLearners returns the maximum number of processes that hold a replica without a vote.
func (p Policy) maxLearners() int { return max(1, p.Tolerate) }

// InSyncFloor returns the size below which the in-sync set isn't reduced because of silent members.
func (p Policy) InSyncFloor(record consensus.Record) int {
	return max(1, record.MinInSync, min(p.Voters(), len(record.Members))-p.Tolerate)
}

// WithMinInSync returns the record with MinInSync raised to the value for its number of members, provided that as many replicas are in
// sync. MinInSync is never lowered, so that the durability of an acknowledgement doesn't decrease when members leave.
func (p Policy) WithMinInSync(record consensus.Record) consensus.Record {
	wanted := replica.MinInSync(p.Tolerate, len(record.Members))
	if wanted > record.MinInSync && len(record.InSync) >= wanted {
		record.MinInSync = wanted
	}
	return record
}

// InitialRecord returns the first record of a group. All members are in sync.
func (p Policy) InitialRecord(primary uint64, members []consensus.Member) consensus.Record {
	record := consensus.Record{Epoch: 1, Primary: primary, Members: members}
	for _, member := range members {
		record.InSync = append(record.InSync, member.ID)
	}
	return p.WithMinInSync(record)
}

// Successor returns the record of the next epoch with the given primary. Replicas whose disk is lost always leave the in-sync set. The
// former primary leaves it unless fewer than InSyncFloor would remain.
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

// View returns the replicas' view of a record.
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
