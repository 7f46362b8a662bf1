package consensus

// Majority tells whether more than half of the members have voted. Of no members it is always a majority.
func Majority(members []Member, voted map[uint64]bool) bool {
	if len(members) == 0 {
		return true
	}
	count := 0
	for _, member := range members {
		if voted[member.ID] {
			count++
		}
	}
	return count > len(members)/2
}

// Quorum tells whether the votes decide for a record: a majority of its members and, during a change, of those before.
func Quorum(record Record, voted map[uint64]bool) bool {
	return Majority(record.Members, voted) && Majority(record.Previous, voted)
}

// QuorumWithLostDisks tells whether the votes decide for a record where the disks of some members are provably lost. Half of an
// even number may be lost if all others vote: every majority that decided something before holds one of these others, and all of
// them are asked. Where more are lost, a decision may be lost with them.
func QuorumWithLostDisks(record Record, voted, lost map[uint64]bool) bool {
	return majorityWithLostDisks(record.Members, voted, lost) && majorityWithLostDisks(record.Previous, voted, lost)
}

func majorityWithLostDisks(members []Member, voted, lost map[uint64]bool) bool {
	if Majority(members, voted) {
		return true
	}
	lostMembers := 0
	for _, member := range members {
		switch {
		case voted[member.ID]:
		case lost[member.ID]:
			lostMembers++
		default:
			return false // it may have voted for something else
		}
	}
	return 2*lostMembers == len(members)
}

// HighestAccepted picks the value with the highest accepted number among the promises, or fallback if none was accepted.
func HighestAccepted(promises map[uint64]Response, fallback Record) Record {
	highest := ProposalNumber{}
	value := fallback
	for _, promise := range promises {
		if promise.Granted && promise.Value.IsBootstrapped() && highest.Less(promise.Accepted) {
			highest = promise.Accepted
			value = promise.Value
		}
	}
	return value
}

// granted are the acceptors that granted what they were asked.
func granted(responses map[uint64]Response) map[uint64]bool {
	voted := map[uint64]bool{}
	for id, response := range responses {
		if response.Granted {
			voted[id] = true
		}
	}
	return voted
}
