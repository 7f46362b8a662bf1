package faultsim

import "otterseam/tier/register"

// prepareMode tells a witness why it is asked.
type prepareMode int

const (
	prepareBySelf prepareMode = iota
	prepareOnSilence
	prepareOnTransfer
)

// proposal is an attempt of a process to change the register.
type proposal struct {
	process  *process
	mode     prepareMode
	ballot   register.Ballot
	start    register.Record
	change   func(register.Record) (register.Record, bool)
	asked    map[uint64]bool
	promises map[uint64]register.Promise
	accepted map[uint64]bool
	current  register.Record
	next     register.Record
	wanted   bool
	writing  bool
	ended    bool
}

// propose changes the register; one proposal of a process runs at a time.
func (p *process) propose(mode prepareMode, start register.Record, change func(register.Record) (register.Record, bool)) {
	if p.busy {
		return
	}
	p.busy = true
	p.round = max(p.round, p.witness.Promised.Round) + 1
	attempt := &proposal{
		process: p, mode: mode, ballot: register.Ballot{Round: p.round, Proposer: p.identity}, start: start, change: change,
		asked: map[uint64]bool{}, promises: map[uint64]register.Promise{}, accepted: map[uint64]bool{},
	}
	p.later(proposeTimeout, attempt.end)
	attempt.read()
}

func (a *proposal) end() {
	if !a.ended {
		a.ended = true
		a.process.busy = false
	}
}

// quorum tells whether voters decide for a record.
func (a *proposal) quorum(record register.Record, voted map[uint64]bool) bool {
	bugs := a.process.play.options.Bugs
	if bugs.OldForgotten {
		record.Previous = nil
	}
	if bugs.HalfIsEnough {
		count := 0
		for _, member := range record.Members {
			if voted[member.ID] {
				count++
			}
		}
		return 2*count >= len(record.Members)
	}
	lost := map[uint64]bool{}
	for _, member := range record.Voters() {
		lost[member.ID] = a.process.lost(member.ID)
	}
	return register.QuorumWithLost(record, voted, lost)
}

// read collects promises until they are a quorum of the start and of the newest record among them.
func (a *proposal) read() {
	if a.ended || a.writing {
		return
	}
	newest := register.Newest(a.promises, a.start)
	voted := map[uint64]bool{}
	for id, promise := range a.promises {
		voted[id] = promise.Given
	}
	if a.quorum(a.start, voted) && a.quorum(newest, voted) {
		a.write(newest)
		return
	}
	for _, member := range append(a.start.Voters(), newest.Voters()...) {
		if a.asked[member.ID] {
			continue
		}
		a.asked[member.ID] = true
		a.process.vote(member, a.mode, func(w *register.Witness) bool { return w.Prepare(a.ballot) }, func(promise register.Promise) {
			a.process.round = max(a.process.round, promise.Promised.Round)
			a.promises[member.ID] = promise
			a.read()
		})
	}
}

// write has the value accepted by a quorum of the record that it replaces and by one of its own.
func (a *proposal) write(current register.Record) {
	a.writing = true
	a.current = current
	a.next, a.wanted = a.change(current)
	if !a.wanted {
		a.next = current
	}
	a.next.Previous = nil
	if !sameMembers(current.Members, a.next.Members) {
		a.next.Previous = current.Members
	}
	both := register.Record{Members: current.Voters(), Previous: a.next.Voters()}
	for _, member := range both.Voters() {
		a.process.vote(member, prepareBySelf, func(w *register.Witness) bool { return w.Accept(a.ballot, a.next) }, func(promise register.Promise) {
			a.accepted[member.ID] = promise.Given
			a.decide()
		})
	}
}

func (a *proposal) decide() {
	if a.ended || !a.quorum(a.current, a.accepted) || !a.quorum(a.next, a.accepted) {
		return
	}
	a.end()
	if a.wanted {
		a.process.lead(a.next)
	} else {
		a.process.note(a.next, true)
	}
}

func sameMembers(a, b []register.Member) bool {
	for _, member := range a {
		if !register.HasMember(b, member.ID) {
			return false
		}
	}
	return len(a) == len(b)
}

// vote has a witness change and answer once the change is durable. Another identity at the address gives no vote.
func (p *process) vote(to register.Member, mode prepareMode, change func(*register.Witness) bool, answered func(register.Promise)) {
	p.ask(to.Address, func(other *process) func() {
		if other.identity != to.ID {
			there, asked := other.self(), p.play.Now
			return func() { p.seen.Answered(there, asked) }
		}
		if mode == prepareOnSilence && !other.group.IsPrimary() && p.play.Now-other.group.PrimaryHeard() < stickyFor {
			return nil
		}
		other.later(p.play.diskDelay(), func() {
			given := change(&other.witness)
			promise := register.Promise{
				Given: given, Promised: other.witness.Promised, Accepted: other.witness.Accepted, Value: other.witness.Value,
			}
			if given {
				other.learn(other.witness.Value)
			}
			p.later(p.play.Between(1, 4), func() { answered(promise) })
		})
		return nil
	})
}
