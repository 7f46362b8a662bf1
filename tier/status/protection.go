package status

import (
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Protection is how many losses a group tolerates now, and what keeps it from tolerating more.
type Protection struct {
	// ToleratedLosses is how many disks may be lost, one right after the other and without a repair between, with everything
	// acknowledged still there and the group able to go on once copies are made again.
	ToleratedLosses int `json:"bears"`
	// CanAcknowledge tells whether the group has the copies without which it acknowledges nothing.
	CanAcknowledge bool `json:"acknowledges"`
	// LimitedBy tells operators what keeps the group from tolerating more.
	LimitedBy string `json:"why_not_more"`
}

// ProtectionOfControl is the protection of the control state. Members that are not in sync count as lost: they may be.
func ProtectionOfControl(record consensus.Record, name NameFunc) Protection {
	if !record.IsBootstrapped() {
		return Protection{LimitedBy: textNoRecord}
	}
	lagging := notInSync(memberIDs(record.Members), record.IsInSync)
	copies := max(0, len(record.InSync)-1)
	votes := spareVotes(record, record.Members)
	if len(record.Previous) > 0 {
		votes = min(votes, spareVotes(record, record.Previous))
	}
	p := Protection{ToleratedLosses: min(copies, votes), CanAcknowledge: len(record.InSync) >= record.MinInSync}
	switch {
	case !p.CanAcknowledge:
		p.ToleratedLosses = 0
		p.LimitedBy = textMissingCopies(len(record.InSync), record.MinInSync, lagging, name)
	case len(lagging) > 0:
		p.LimitedBy = textNotInSync(lagging, name)
	case votes <= copies:
		p.LimitedBy = textMajorityNeeded(len(record.Members))
	default:
		p.LimitedBy = textAllInSync(len(record.InSync))
	}
	return p
}

// spareVotes is how many of the members in sync may go before there is no majority of them.
func spareVotes(record consensus.Record, members []consensus.Member) int {
	inSync := 0
	for _, member := range members {
		if record.IsInSync(member.ID) {
			inSync++
		}
	}
	return max(0, inSync-len(members)/2-1)
}

// ProtectionOfShard is the protection of a shard of programs.
func ProtectionOfShard(view replica.View, name NameFunc) Protection {
	lagging := notInSync(view.Replicas, view.IsInSync)
	p := Protection{ToleratedLosses: view.ToleratedLosses(), CanAcknowledge: view.HasMinInSync()}
	switch {
	case !p.CanAcknowledge:
		p.LimitedBy = textMissingCopies(len(view.InSync), view.MinInSync, lagging, name)
	case len(lagging) > 0:
		p.LimitedBy = textNotInSync(lagging, name)
	default:
		p.LimitedBy = textAllInSync(len(view.InSync))
	}
	return p
}

// notInSync lists those of some replicas that are not in sync.
func notInSync(replicas []uint64, isInSync func(id uint64) bool) []uint64 {
	var lagging []uint64
	for _, id := range replicas {
		if !isInSync(id) {
			lagging = append(lagging, id)
		}
	}
	return lagging
}

func memberIDs(members []consensus.Member) []uint64 {
	ids := make([]uint64, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}
