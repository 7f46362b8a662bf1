package membership

import "otterseam/tier/consensus"

// Observation is what the primary knows about the processes.
type Observation struct {
	Alive    []consensus.Member // processes that sent a heartbeat recently, members and others
	HasState map[uint64]bool    // replicas outside the in-sync set that hold all committed entries
	DiskLost func(uint64) bool  // whether the disk is provably lost
	Silent   func(uint64) bool  // whether it has been silent for so long that it may be replaced
	Departed func(uint64) bool  // whether it has been silent for so long that it may be removed without replacement
	Draining func(uint64) bool  // whether it has announced its shutdown
}

// isAlive reports whether a process sent a heartbeat recently.
func (o Observation) isAlive(id uint64) bool { return consensus.HasMember(o.Alive, id) }

// Step is one change of a record.
type Step struct {
	Record consensus.Record
	// Admit is the replica, if any, that the step adds to the in-sync set. From before the step is proposed, commands must not be
	// committed without this replica.
	Admit uint64
}

// Next returns the next step towards a group that provides the fault tolerance of the policy, or false if none is needed.
func (p Policy) Next(record consensus.Record, o Observation) (Step, bool) {
	steps := []func(consensus.Record, Observation) (Step, bool){
		p.replaceLostVoter, // first, because the next loss may leave no majority
		p.promoteLearner,
		p.removeDeparted,
		p.addLearner,
		p.removeLearner,
	}
	for _, step := range steps {
		if next, wanted := step(record, o); wanted {
			next.Record = p.WithMinInSync(next.Record)
			return next, true
		}
	}
	return Step{}, false
}

// replaceLostVoter gives the vote of a member whose disk is lost to another process at once, whether or not that process holds the
// state. The member can never vote again, and until another process has its vote the next loss may leave no majority. The new voter
// isn't in sync until it holds the state.
func (p Policy) replaceLostVoter(record consensus.Record, o Observation) (Step, bool) {
	for _, member := range record.Members {
		if member.ID == record.Primary || !o.DiskLost(member.ID) {
			continue
		}
		if replacement, found := p.replacementFor(record, member, o); found {
			next := withoutLearner(withVoterReplaced(record, member.ID, replacement), replacement.ID)
			return Step{Record: next}, true
		}
	}
	return Step{}, false
}

// replacementFor returns the process that replaces a lost member: preferably one that holds the state, then one at the same address, then
// any other.
func (p Policy) replacementFor(record consensus.Record, lost consensus.Member, o Observation) (consensus.Member, bool) {
	var best consensus.Member
	bestScore := noReplacement
	for _, candidate := range o.Alive {
		if consensus.HasMember(record.Members, candidate.ID) || o.Draining(candidate.ID) {
			continue
		}
		score := replacementScore(candidate, lost, o)
		if score > bestScore || (score == bestScore && candidate.ID < best.ID) {
			best = candidate
			bestScore = score
		}
	}
	return best, bestScore > noReplacement
}

// The scores of processes that may replace a lost member, in ascending order of preference.
const (
	noReplacement = iota
	anyProcess
	sameAddress
	holdsState
)

func replacementScore(candidate, lost consensus.Member, o Observation) int {
	switch {
	case o.HasState[candidate.ID]:
		return holdsState
	case candidate.Address == lost.Address:
		return sameAddress
	default:
		return anyProcess
	}
}

// promoteLearner gives a vote to a learner that holds the state: an additional vote while the group has too few voters, otherwise the vote
// of a member that is silent or draining.
func (p Policy) promoteLearner(record consensus.Record, o Observation) (Step, bool) {
	for _, learner := range record.Learners {
		if !o.HasState[learner.ID] || !o.isAlive(learner.ID) || o.Draining(learner.ID) {
			continue
		}
		next := withoutLearner(record, learner.ID)
		if len(record.Members) < p.Voters() {
			next.Members = append(append([]consensus.Member(nil), record.Members...), learner)
		} else if member, found := p.replaceableVoter(record, o); found {
			next = withVoterReplaced(next, member, learner)
		} else {
			continue
		}
		next.InSync = append(consensus.Without(next.InSync, learner.ID), learner.ID)
		return Step{Record: next, Admit: learner.ID}, true
	}
	return Step{}, false
}

// replaceableVoter returns a member other than the primary that is draining or silent, if there is one.
func (p Policy) replaceableVoter(record consensus.Record, o Observation) (uint64, bool) {
	for _, member := range record.Members {
		if member.ID == record.Primary {
			continue
		}
		if o.Draining(member.ID) || o.Silent(member.ID) {
			return member.ID, true
		}
	}
	return 0, false
}

// removeDeparted removes a departed member for which no replacement is available, if the group then tolerates more losses. It removes one
// member at a time, so a group may have an even size in between: five members of which two have departed become four and then three.
func (p Policy) removeDeparted(record consensus.Record, o Observation) (Step, bool) {
	var departed []uint64
	for _, member := range record.Members {
		dispensable := !record.IsInSync(member.ID) || len(record.InSync) > p.InSyncFloor(record)
		if member.ID != record.Primary && dispensable && (o.DiskLost(member.ID) || o.Departed(member.ID)) {
			departed = append(departed, member.ID)
		}
	}
	members := len(record.Members)
	toleranceUnchanged := members%2 == 1 && len(departed) < 2 // four members tolerate no more losses than five with one departed
	if members <= smallestGroup || len(departed) == 0 || toleranceUnchanged || p.spareAvailable(record, o) {
		return Step{}, false
	}
	next := record
	next.Members = withoutMember(record.Members, departed[0])
	next.InSync = consensus.Without(record.InSync, departed[0])
	return Step{Record: next}, true
}

// smallestGroup is the smallest number of members that tolerates the loss of one.
const smallestGroup = 3

// spareAvailable reports whether a process is available to replace a member.
func (p Policy) spareAvailable(record consensus.Record, o Observation) bool {
	for _, candidate := range o.Alive {
		if !consensus.HasMember(record.Members, candidate.ID) && !o.Draining(candidate.ID) {
			return true
		}
	}
	return false
}

// addLearner makes a spare process a learner, so that it holds a replica before it is needed.
func (p Policy) addLearner(record consensus.Record, o Observation) (Step, bool) {
	if len(record.Learners) >= p.maxLearners() {
		return Step{}, false
	}
	for _, candidate := range o.Alive {
		known := consensus.HasMember(record.Members, candidate.ID) || consensus.HasMember(record.Learners, candidate.ID)
		if known || o.Draining(candidate.ID) {
			continue
		}
		next := record
		next.Learners = append(append([]consensus.Member(nil), record.Learners...), candidate)
		return Step{Record: next}, true
	}
	return Step{}, false
}

// removeLearner removes a learner that has lost its disk, is silent or is draining.
func (p Policy) removeLearner(record consensus.Record, o Observation) (Step, bool) {
	for _, learner := range record.Learners {
		if o.Draining(learner.ID) || o.DiskLost(learner.ID) || o.Silent(learner.ID) {
			return Step{Record: withoutLearner(record, learner.ID)}, true
		}
	}
	return Step{}, false
}

func withVoterReplaced(record consensus.Record, remove uint64, add consensus.Member) consensus.Record {
	next := record
	next.Members = append(withoutMember(record.Members, remove), add)
	next.InSync = consensus.Without(record.InSync, remove)
	return next
}

func withoutLearner(record consensus.Record, id uint64) consensus.Record {
	next := record
	next.Learners = withoutMember(record.Learners, id)
	return next
}

func withoutMember(members []consensus.Member, id uint64) []consensus.Member {
	var rest []consensus.Member
	for _, member := range members {
		if member.ID != id {
			rest = append(rest, member)
		}
	}
	return rest
}
