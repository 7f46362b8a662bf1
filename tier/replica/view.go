package replica

import (
	"slices"

	"otterseam/tier/consensus"
)

// View names the primary and the replicas of a group during one epoch.
type View struct {
	Epoch    uint64
	Primary  uint64
	InSync   []uint64
	Replicas []uint64 // all that are to hold the group, those in sync included
	// MinInSync is how many replicas have to be in sync for anything to be committed. An in-sync set below it, after a lost disk,
	// admits another replica first. Its key in the status of a cluster is older than its name.
	MinInSync int `json:"MinCopies"`
	// Learners are the replicas that hold the group without a vote, where the group's replicas vote.
	Learners []uint64
}

// MinInSync is how many replicas have to be in sync so that an acknowledged command outlives the loss of as many disks as are
// tolerated, in a group that has so many replicas at most.
func MinInSync(tolerate, replicas int) int {
	return max(1, min(tolerate+1, replicas))
}

// IsInSync tells whether a replica is in the in-sync set.
func (v View) IsInSync(id uint64) bool { return slices.Contains(v.InSync, id) }

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

// ToleratedLosses is how many disks of the group may be lost now, one after the other and without a repair between, with all that
// was acknowledged still there.
func (v View) ToleratedLosses() int { return max(0, len(v.InSync)-1) }

// WouldUnderReplicate tells whether, without a replica, fewer replicas would be in sync than are demanded, while another one is
// still catching up. A process that is shutting down waits for that one.
func (v View) WouldUnderReplicate(id uint64) bool {
	if !v.IsInSync(id) {
		return false
	}
	others := len(v.InSync) - 1
	return others < v.MinInSync && len(consensus.Without(v.Replicas, id)) > others
}
