package replica

import (
	"slices"

	"otterseam/tier/consensus"
)

// View is the configuration of a group in one epoch: its primary and its replicas.
type View struct {
	Epoch    uint64
	Primary  uint64
	InSync   []uint64
	Replicas []uint64 // all replicas of the group, including those in sync
	// MinInSync is the minimum size of the in-sync set for commits. If a lost disk makes the set smaller, another replica must be
	// admitted first. The JSON key in the cluster status predates the name of the field.
	MinInSync int `json:"MinCopies"`
	// Learners are the replicas without a vote, in groups whose replicas vote.
	Learners []uint64
}

// MinInSync returns the minimum number of in-sync replicas with which an acknowledged command survives the loss of as many disks
// as are tolerated. It is at most the number of replicas.
func MinInSync(tolerate, replicas int) int {
	return max(1, min(tolerate+1, replicas))
}

// IsInSync reports whether a replica is in the in-sync set.
func (v View) IsInSync(id uint64) bool { return slices.Contains(v.InSync, id) }

// HasMinInSync reports whether the in-sync set is large enough for the group to commit commands.
func (v View) HasMinInSync() bool { return len(v.InSync) >= v.MinInSync }

// Voters returns the replicas that have a vote.
func (v View) Voters() []uint64 {
	var voters []uint64
	for _, id := range v.Replicas {
		if !slices.Contains(v.Learners, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// ToleratedLosses returns how many disks of the group may be lost now, one after the other and without a repair in between, without
// loss of an acknowledged command.
func (v View) ToleratedLosses() int { return max(0, len(v.InSync)-1) }

// WouldUnderReplicate reports whether the removal of a replica would leave fewer than MinInSync replicas in sync while another one
// is still catching up. A process that is shutting down waits until that one has caught up.
func (v View) WouldUnderReplicate(id uint64) bool {
	if !v.IsInSync(id) {
		return false
	}
	others := len(v.InSync) - 1
	return others < v.MinInSync && len(consensus.Without(v.Replicas, id)) > others
}
