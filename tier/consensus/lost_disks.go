package consensus

// QuorumWithLostDisks tells whether the voters decide for a record where the disks of some members are provably lost. Half of an even
// number may be lost if all others vote: every majority that decided something before holds one of these others, and all of them
// are asked. Where more are lost, a decision may be lost with them.
func QuorumWithLostDisks(record Record, voted, lost map[uint64]bool) bool {
	return majorityWithLostDisks(record.Members, voted, lost) && majorityWithLostDisks(record.Previous, voted, lost)
}

func majorityWithLostDisks(members []Member, voted, lost map[uint64]bool) bool {
	if Majority(members, voted) {
		return true
	}
	gone := 0
	for _, member := range members {
		switch {
		case voted[member.ID]:
		case lost[member.ID]:
			gone++
		default:
			return false // it may have voted for something else
		}
	}
	return 2*gone == len(members)
}
