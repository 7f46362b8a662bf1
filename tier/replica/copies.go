package replica

import (
	"slices"

	"otterseam/tier/consensus"
)

// MinInSync is how many durable copies an acknowledgement needs so that it outlives the loss of as many disks as are tolerated,
// in a group that has so many replicas at most.
func MinInSync(tolerate, replicas int) int {
	return max(1, min(tolerate+1, replicas))
}

// HasMinInSync tells whether the in-sync set is large enough for the group to acknowledge anything.
func (v View) HasMinInSync() bool { return len(v.InSync) >= v.MinInSync }

// Voters are the replicas whose votes decide for the group.
func (v View) Voters() []uint64 {
	var voters []uint64
	for _, id := range v.Replicas {
		if !slices.Contains(v.Learners, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// ToleratedLosses is how many disks of the group may be lost now, one after the other and without a repair between, with all that was
// acknowledged still there.
func (v View) ToleratedLosses() int { return max(0, len(v.InSync)-1) }

// WouldUnderReplicate tells whether, without a replica, fewer copies would be in sync than are demanded, while another replica is still
// being filled. A process that is about to end waits for that one.
func (v View) WouldUnderReplicate(id uint64) bool {
	if !v.IsInSync(id) {
		return false
	}
	others := len(v.InSync) - 1
	return others < v.MinInSync && len(consensus.Without(v.Replicas, id)) > others
}
