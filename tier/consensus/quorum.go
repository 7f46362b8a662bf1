package consensus

// Majority reports whether more than half of the members have voted. It returns true if there are no members.
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

// Quorum reports whether the votes form a quorum of a record: a majority of its members and, during a change of members, a
// majority of the previous ones.
func Quorum(record Record, voted map[uint64]bool) bool {
	return Majority(record.Members, voted) && Majority(record.Previous, voted)
}

// QuorumWithLostDisks reports whether the votes form a quorum of a record if the disks of some members are provably lost. Of an
// even number of members, half may be lost if all others vote: every majority that decided something before includes one of these
// others, and all of them are asked. If more are lost, a decision may be lost with them.
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
			return false // this member may have accepted another value
		}
	}
	return 2*lostMembers == len(members)
}

// HighestAccepted returns the value with the highest accepted number among the promises, or fallback if none was accepted.
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

// granted returns the acceptors that granted the request.
func granted(responses map[uint64]Response) map[uint64]bool {
	voted := map[uint64]bool{}
	for id, response := range responses {
		if response.Granted {
			voted[id] = true
		}
	}
	return voted
}
