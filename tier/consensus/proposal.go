package consensus

// RequestKind tells what a proposal asks of an acceptor.
type RequestKind uint8

// The kinds of requests.
const (
	RequestPrepare RequestKind = iota + 1 // to promise not to accept lower numbers, and to name what was accepted
	RequestAccept                         // to accept a value
)

// Request is a message of a proposal to one acceptor.
type Request struct {
	Kind   RequestKind
	To     Member
	Number ProposalNumber
	Value  Record // of an accept
}

// Phase is how far a proposal has come.
type Phase uint8

// The phases of a proposal.
const (
	PhasePrepare Phase = iota // collecting promises
	PhaseAccept               // collecting accepts
	PhaseDecided              // a quorum accepted the value
	PhaseFailed               // no quorum can be reached; the value may or may not be decided later
)

// rules are the decisions of a proposal that tests replace by wrong ones, to see that wrong ones are found.
type rules struct {
	quorum          func(record Record, voted map[uint64]bool) bool
	highestAccepted func(promises map[uint64]Response, standard Record) Record
	previousMembers func(current, next Record) []Member
	mayBeFollowed   func(current, confirmed Record) bool
}

var standardRules = rules{
	quorum:          Quorum,
	highestAccepted: HighestAccepted,
	previousMembers: previousMembers,
	mayBeFollowed:   mayBeFollowed,
}

// previousMembers are the members that a next proposer has to ask besides, because a majority of them may not know the new ones
// yet.
func previousMembers(current, next Record) []Member {
	if sameMembers(current.Members, next.Members) {
		return nil
	}
	return current.Members
}

// mayBeFollowed tells whether a record may be followed by another. One that changed the members has to be decided before: a
// majority of the old members must know the new ones, or a reader that begins at a follower would pass the old ones by.
func mayBeFollowed(current, confirmed Record) bool {
	return len(current.Previous) == 0 || current.Equal(confirmed)
}

// Proposal is one attempt to change the register under one number. It is pure: it returns the requests to send and takes the
// responses, in any order. A number is used by one proposal only.
type Proposal struct {
	number    ProposalNumber
	start     Record
	confirmed Record // a record known to be decided
	change    Change
	rules     rules
	minVotes  int // votes without which nothing is decided, whatever the record says

	phase        Phase
	asked        map[uint64]bool     // in the present phase
	responses    map[uint64]Response // of the present phase
	failed       map[uint64]bool     // members of the present phase from which no response will come
	current      Record              // what was read
	next         Record              // what is written
	onlyConfirms bool                // next is the current record, so that it is decided before it is followed
	highestRound uint64              // the highest round that a response named
}

// NewProposal makes a proposal. start is the newest record known, which names the acceptors to begin with. confirmed is the
// record that an earlier proposal of the same change confirmed, if any.
func NewProposal(number ProposalNumber, start, confirmed Record, change Change) *Proposal {
	return &Proposal{
		number:    number,
		start:     start,
		current:   start,
		confirmed: confirmed,
		change:    change,
		rules:     standardRules,
		asked:     map[uint64]bool{},
		responses: map[uint64]Response{},
		failed:    map[uint64]bool{},
	}
}

// Phase is how far the proposal has come.
func (p *Proposal) Phase() Phase { return p.phase }

// IsOver tells whether the proposal has been decided or has failed.
func (p *Proposal) IsOver() bool { return p.phase == PhaseDecided || p.phase == PhaseFailed }

// Decided is the value that a quorum accepted, in PhaseDecided.
func (p *Proposal) Decided() Record { return p.next }

// OnlyConfirmed tells, in PhaseDecided, that the current record was decided as it stood and that the change has yet to be made.
func (p *Proposal) OnlyConfirmed() bool { return p.onlyConfirms }

// Newest is the newest record that the proposal has read so far.
func (p *Proposal) Newest() Record { return p.current }

// HighestRound is the highest round that an acceptor named.
func (p *Proposal) HighestRound() uint64 { return p.highestRound }

// Begin returns the first requests. A start that names no acceptor can decide nothing.
func (p *Proposal) Begin() []Request {
	if len(p.start.Members) == 0 {
		p.phase = PhaseFailed
		return nil
	}
	return p.requestsFor(RequestPrepare, p.start.Voters(), Record{})
}

// Answer takes an acceptor's response to a request of the kind and returns further requests. Responses of an earlier phase
// change nothing.
func (p *Proposal) Answer(kind RequestKind, from uint64, response Response) []Request {
	p.highestRound = max(p.highestRound, response.Promised.Round)
	if !p.isAwaiting(kind, from) {
		return nil
	}
	p.responses[from] = response
	return p.advance()
}

// Fail notes that no response to a request will come, and returns further requests.
func (p *Proposal) Fail(kind RequestKind, from uint64) []Request {
	if !p.isAwaiting(kind, from) {
		return nil
	}
	p.failed[from] = true
	return p.advance()
}

// isAwaiting tells whether a response of the kind from a member would count in the present phase.
func (p *Proposal) isAwaiting(kind RequestKind, from uint64) bool {
	expected := (p.phase == PhasePrepare && kind == RequestPrepare) || (p.phase == PhaseAccept && kind == RequestAccept)
	_, responded := p.responses[from]
	return expected && p.asked[from] && !responded && !p.failed[from]
}

func (p *Proposal) advance() []Request {
	if p.phase == PhasePrepare {
		return p.evaluatePromises()
	}
	p.evaluateAccepts()
	return nil
}

// evaluatePromises looks whether the promises are a quorum of the start and of the newest record among them. Members that a
// newer record names are asked besides.
func (p *Proposal) evaluatePromises() []Request {
	p.current = p.rules.highestAccepted(p.responses, p.start)
	voted := granted(p.responses)
	if p.decides(p.start, voted) && p.decides(p.current, voted) {
		return p.beginAccept(voted)
	}
	more := p.requestsFor(RequestPrepare, p.current.Voters(), Record{})
	if possible := p.possibleVotes(); !p.mayDecide(p.start, possible) || !p.mayDecide(p.current, possible) {
		p.phase = PhaseFailed
		return nil
	}
	return more
}

// beginAccept decides the next value and has it accepted by a quorum of the record that it replaces and by one of its own.
func (p *Proposal) beginAccept(voted map[uint64]bool) []Request {
	p.next = p.nextValue(voted)
	p.phase = PhaseAccept
	p.asked = map[uint64]bool{}
	p.responses = map[uint64]Response{}
	p.failed = map[uint64]bool{}
	both := Record{Members: p.current.Voters(), Previous: p.next.Voters()}
	return p.requestsFor(RequestAccept, both.Voters(), p.next)
}

// nextValue is the value to write after the current one.
func (p *Proposal) nextValue(voted map[uint64]bool) Record {
	p.onlyConfirms = !p.rules.mayBeFollowed(p.current, p.confirmed)
	if p.onlyConfirms {
		return p.current
	}
	next, wanted := p.change(p.current, voted)
	if !wanted {
		next = p.current
	}
	next.Previous = p.rules.previousMembers(p.current, next)
	return next
}

// evaluateAccepts looks whether the accepts are a quorum of the record replaced and of its follower, or can't become one.
func (p *Proposal) evaluateAccepts() {
	voted := granted(p.responses)
	possible := p.possibleVotes()
	switch {
	case p.decides(p.current, voted) && p.decides(p.next, voted):
		p.phase = PhaseDecided
	case !p.mayDecide(p.current, possible) || !p.mayDecide(p.next, possible):
		p.phase = PhaseFailed
	}
}

// decides tells whether the votes decide for a record.
func (p *Proposal) decides(record Record, voted map[uint64]bool) bool {
	return len(voted) >= p.minVotes && (p.rules.quorum(record, voted) || QuorumWithLostDisks(record, voted, p.lostDisks()))
}

// mayDecide tells whether the members that have voted or still may could decide for a record.
func (p *Proposal) mayDecide(record Record, possible map[uint64]bool) bool {
	return len(possible) >= p.minVotes && QuorumWithLostDisks(record, possible, p.lostDisks())
}

// lostDisks are the members whose disk is provably lost, by the responses of the present phase.
func (p *Proposal) lostDisks() map[uint64]bool {
	lost := map[uint64]bool{}
	for id, response := range p.responses {
		if response.DiskLost {
			lost[id] = true
		}
	}
	return lost
}

// possibleVotes are the members that have voted or still may.
func (p *Proposal) possibleVotes() map[uint64]bool {
	possible := granted(p.responses)
	for id := range p.asked {
		if _, responded := p.responses[id]; !responded && !p.failed[id] {
			possible[id] = true
		}
	}
	return possible
}

// requestsFor makes requests for the members that have not been asked in this phase.
func (p *Proposal) requestsFor(kind RequestKind, members []Member, value Record) []Request {
	var requests []Request
	for _, member := range members {
		if p.asked[member.ID] {
			continue
		}
		p.asked[member.ID] = true
		requests = append(requests, Request{Kind: kind, To: member, Number: p.number, Value: value})
	}
	return requests
}
