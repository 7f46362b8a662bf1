package replica

import "otterseam/tier/register"

// MinCopies is how many durable copies an acknowledgement needs so that it outlives the loss of as many disks as are tolerated,
// in a group that has so many replicas at most.
func MinCopies(tolerate, replicas int) int {
	return max(1, min(tolerate+1, replicas))
}

// HasCopies tells whether the in-sync set is large enough for the group to acknowledge anything.
func (v View) HasCopies() bool { return len(v.InSync) >= v.MinCopies }

// Voters are the replicas whose votes decide for the group.
func (v View) Voters() []uint64 {
	var voters []uint64
	for _, id := range v.Replicas {
		if !register.Contains(v.Learners, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// BearsLosses is how many disks of the group may be lost now, one after the other and without a repair between, with all that was
// acknowledged still there.
func (v View) BearsLosses() int { return max(0, len(v.InSync)-1) }
