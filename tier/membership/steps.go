package membership

import "otterseam/tier/consensus"

// Observation is what the primary knows of the processes.
type Observation struct {
	Alive    []consensus.Member // processes heard lately, members and others
	HasState map[uint64]bool    // replicas outside the in-sync set that hold all that was committed
	DiskLost func(uint64) bool  // the disk is provably lost
	Silent   func(uint64) bool  // for so long that another may take the place
	Departed func(uint64) bool  // for so long that it may be taken out with none in its place
	Draining func(uint64) bool  // it has said that it will end
}

// isAlive tells whether a process was heard lately.
func (o Observation) isAlive(id uint64) bool { return consensus.HasMember(o.Alive, id) }

// Step is one change of a record.
type Step struct {
	Record consensus.Record
	// Admit is a replica that the step takes into the in-sync set; commands have to wait for it before the step is proposed.
	Admit uint64
}

// Next is the next step towards a group that bears the tolerated losses, if one is wanted.
func (p Policy) Next(record consensus.Record, o Observation) (Step, bool) {
	steps := []func(consensus.Record, Observation) (Step, bool){
		p.replaceLostVoter, // first: the next loss may leave no majority
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

// replaceLostVoter gives the vote of a member whose disk is lost to another process at once, whether or not that one holds the
// state: the vote can never be given again by the one before, and until it is given by another the next loss leaves no majority.
// The newcomer is not in sync before it holds the state.
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

// replacementFor picks who follows a lost member: a spare that holds the state, else the process at the same address, else any.
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

// How fit a process is to follow a lost member, the fittest last.
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

// promoteLearner gives a learner that holds the state a vote: a further one while there are too few, else that of a member that
// is silent or draining.
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

// replaceableVoter finds a member whose vote a learner should have.
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

// removeDeparted takes out a member that has departed while none can follow it, if the group then bears more losses. An even
// number is passed through: with two departed of five, four and then three are left.
func (p Policy) removeDeparted(record consensus.Record, o Observation) (Step, bool) {
	var departed []uint64
	for _, member := range record.Members {
		dispensable := !record.IsInSync(member.ID) || len(record.InSync) > p.InSyncFloor(record)
		if member.ID != record.Primary && dispensable && (o.DiskLost(member.ID) || o.Departed(member.ID)) {
			departed = append(departed, member.ID)
		}
	}
	members := len(record.Members)
	toleranceUnchanged := members%2 == 1 && len(departed) < 2 // four bear no more losses than five with one departed
	if members <= smallestGroup || len(departed) == 0 || toleranceUnchanged || p.spareAvailable(record, o) {
		return Step{}, false
	}
	next := record
	next.Members = withoutMember(record.Members, departed[0])
	next.InSync = consensus.Without(record.InSync, departed[0])
	return Step{Record: next}, true
}

// smallestGroup is the least number of members that bears the loss of one.
const smallestGroup = 3

// spareAvailable tells whether a process could follow a member.
func (p Policy) spareAvailable(record consensus.Record, o Observation) bool {
	for _, candidate := range o.Alive {
		if !consensus.HasMember(record.Members, candidate.ID) && !o.Draining(candidate.ID) {
			return true
		}
	}
	return false
}

// addLearner has a spare hold a replica before it is needed.
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

// removeLearner forgets a learner that is lost, silent or draining.
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
