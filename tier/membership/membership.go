// Package membership decides who votes in the group that holds the control state and who holds its copies: when a spare is taken
// in, when a member is replaced and when one is taken out with none in its place. It is pure: the record in force and what is
// known of the processes go in, the next record comes out, one step at a time.
package membership

import (
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Policy is what the group has to bear.
type Policy struct {
	Tolerate int // members whose loss at once has to be borne
}

// Voters is how many members the group has where there are enough processes: more than half are left after the tolerated losses.
func (p Policy) Voters() int { return 2*p.Tolerate + 1 }

// maxLearners is how many spares hold a copy without a vote.
func (p Policy) maxLearners() int { return max(1, p.Tolerate) }

// Floor is how many members stay in the in-sync set although they are silent.
func (p Policy) Floor(record consensus.Record) int {
	return max(1, record.MinInSync, min(p.Voters(), len(record.Members))-p.Tolerate)
}

// WithMinInSync raises the copies that an acknowledgement needs to what the members allow, once so many are in sync. They are never
// lowered: what was promised of an acknowledgement holds on when members leave.
func (p Policy) WithMinInSync(record consensus.Record) consensus.Record {
	wanted := replica.MinInSync(p.Tolerate, len(record.Members))
	if wanted > record.MinInSync && len(record.InSync) >= wanted {
		record.MinInSync = wanted
	}
	return record
}

// InitialRecord is the first record of a group.
func (p Policy) InitialRecord(primary uint64, members []consensus.Member) consensus.Record {
	record := consensus.Record{Epoch: 1, Primary: primary, Members: members}
	for _, member := range members {
		record.InSync = append(record.InSync, member.ID)
	}
	return p.WithMinInSync(record)
}

// Successor is the record of the next epoch under another primary. Replicas whose disk is lost leave the in-sync set in any case;
// the former primary leaves it unless too few would remain.
func (p Policy) Successor(current consensus.Record, primary uint64, lost func(uint64) bool) consensus.Record {
	next := current
	next.Epoch++
	next.Primary = primary
	next.InSync = nil
	for _, id := range current.InSync {
		if id == primary || !lost(id) {
			next.InSync = append(next.InSync, id)
		}
	}
	if current.Primary != primary && len(next.InSync) > p.Floor(current) {
		next.InSync = consensus.Without(next.InSync, current.Primary)
	}
	return next
}

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
	steps := []func(consensus.Record, Observation) (Step, bool){p.replaceLostVoter, p.promoteLearner, p.removeDeparted, p.addLearner, p.removeLearner}
	for _, step := range steps {
		if next, wanted := step(record, o); wanted {
			next.Record = p.WithMinInSync(next.Record)
			return next, true
		}
	}
	return Step{}, false
}

// replaceLostVoter gives the vote of a member whose disk is lost to another process at once, whether or not that one holds the state: the
// vote can never be given again by the one before, and until it is given by another the next loss leaves no majority. The
// newcomer is not in sync before it holds the state.
func (p Policy) replaceLostVoter(record consensus.Record, o Observation) (Step, bool) {
	for _, member := range record.Members {
		if member.ID == record.Primary || !o.DiskLost(member.ID) {
			continue
		}
		if successor, found := p.successorFor(record, member, o); found {
			next := withoutLearner(replaced(record, member.ID, successor), successor.ID)
			return Step{Record: next}, true
		}
	}
	return Step{}, false
}

// successorFor picks who follows a lost member: a spare that holds the state, else the process at the same address, else any.
func (p Policy) successorFor(record consensus.Record, lost consensus.Member, o Observation) (consensus.Member, bool) {
	var best consensus.Member
	bestScore := -1
	for _, candidate := range o.Alive {
		if consensus.HasMember(record.Members, candidate.ID) || o.Draining(candidate.ID) {
			continue
		}
		score := 0
		if candidate.Address == lost.Address {
			score = 1
		}
		if o.HasState[candidate.ID] {
			score = 2
		}
		if score > bestScore || (score == bestScore && candidate.ID < best.ID) {
			best, bestScore = candidate, score
		}
	}
	return best, bestScore >= 0
}

// promoteLearner gives a spare that holds the state a vote: a seat of its own while there are too few, else that of a member that is
// silent or leaving.
func (p Policy) promoteLearner(record consensus.Record, o Observation) (Step, bool) {
	for _, learner := range record.Learners {
		if !o.HasState[learner.ID] || !o.isAlive(learner.ID) || o.Draining(learner.ID) {
			continue
		}
		next := withoutLearner(record, learner.ID)
		if len(record.Members) < p.Voters() {
			next.Members = append(append([]consensus.Member(nil), record.Members...), learner)
		} else if member, found := p.replaceableVoter(record, o); found {
			next = replaced(next, member, learner)
		} else {
			continue
		}
		next.InSync = append(consensus.Without(next.InSync, learner.ID), learner.ID)
		return Step{Record: next, Admit: learner.ID}, true
	}
	return Step{}, false
}

// replaceableVoter finds a member whose seat a spare should have.
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

// removeDeparted takes out a member that is gone while none can follow it, if the group then bears more losses. An even number is passed
// through: with two gone of five, four and then three are left.
func (p Policy) removeDeparted(record consensus.Record, o Observation) (Step, bool) {
	var gone []uint64
	for _, member := range record.Members {
		spared := !record.IsInSync(member.ID) || len(record.InSync) > p.Floor(record)
		if member.ID != record.Primary && spared && (o.DiskLost(member.ID) || o.Departed(member.ID)) {
			gone = append(gone, member.ID)
		}
	}
	members := len(record.Members)
	if members <= smallestGroup || len(gone) == 0 || (members%2 == 1 && len(gone) < 2) || p.hasSpare(record, o) {
		return Step{}, false
	}
	next := record
	next.Members = withoutMember(record.Members, gone[0])
	next.InSync = consensus.Without(record.InSync, gone[0])
	return Step{Record: next}, true
}

// smallestGroup is the least number of members that bears the loss of one.
const smallestGroup = 3

// hasSpare tells whether a process could follow a member.
func (p Policy) hasSpare(record consensus.Record, o Observation) bool {
	for _, candidate := range o.Alive {
		if !consensus.HasMember(record.Members, candidate.ID) && !o.Draining(candidate.ID) {
			return true
		}
	}
	return false
}

// addLearner has a spare hold a copy before it is needed.
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

// removeLearner forgets a spare that is silent or leaving.
func (p Policy) removeLearner(record consensus.Record, o Observation) (Step, bool) {
	for _, learner := range record.Learners {
		if o.Draining(learner.ID) || o.DiskLost(learner.ID) || o.Silent(learner.ID) {
			return Step{Record: withoutLearner(record, learner.ID)}, true
		}
	}
	return Step{}, false
}

func replaced(record consensus.Record, remove uint64, add consensus.Member) consensus.Record {
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

// View is how the replicas see a record.
func View(record consensus.Record) replica.View {
	view := replica.View{Epoch: record.Epoch, Primary: record.Primary, InSync: record.InSync, MinInSync: record.MinInSync}
	for _, member := range record.Replicas() {
		view.Replicas = append(view.Replicas, member.ID)
		if !consensus.HasMember(record.Members, member.ID) {
			view.Learners = append(view.Learners, member.ID)
		}
	}
	return view
}
