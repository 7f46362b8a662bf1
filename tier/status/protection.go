package status

import (
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Protection contains the number of losses that a group tolerates at present, and the reason why it does not tolerate more.
type Protection struct {
	// ToleratedLosses is the number of disks that may be lost in succession, with no repair in between, without losing acknowledged
	// data and so that the group can continue once the lost copies are restored.
	ToleratedLosses int `json:"bears"`
	// CanAcknowledge reports whether the group has the minimum number of copies that an acknowledgement requires.
	CanAcknowledge bool `json:"acknowledges"`
	// LimitedBy is the reason, as a text for operators, why the group does not tolerate more losses.
	LimitedBy string `json:"why_not_more"`
}

// ProtectionOfControl returns the protection of the control state. It counts members that are not in sync as lost, since they may
// be.
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

// spareVotes returns how many in-sync members may be lost before the rest is no longer a majority of the members.
func spareVotes(record consensus.Record, members []consensus.Member) int {
	inSync := 0
	for _, member := range members {
		if record.IsInSync(member.ID) {
			inSync++
		}
	}
	return max(0, inSync-len(members)/2-1)
}

// ProtectionOfShard returns the protection of a shard of programs.
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

// notInSync returns the replicas that are not in sync.
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
