package consensus

// RequestKind is the kind of a request to an acceptor.
type RequestKind uint8

// The kinds of requests.
const (
	RequestPrepare RequestKind = iota + 1 // asks for a promise not to accept lower numbers, and for the accepted value
	RequestAccept                         // asks to accept a value
)

// Request is a message of a proposal to one acceptor.
type Request struct {
	Kind   RequestKind
	To     Member
	Number ProposalNumber
	Value  Record // set for RequestAccept only
}

// Phase is the phase of a proposal.
type Phase uint8

// The phases of a proposal.
const (
	PhasePrepare Phase = iota // collecting promises
	PhaseAccept               // collecting accepts
	PhaseDecided              // a quorum accepted the value
	PhaseFailed               // no quorum can be reached; the value may still be decided later
)

// rules holds the decision functions of a proposal. Tests replace them by faulty ones to check that the exploration detects
// the fault.
type rules struct {
	quorum          func(record Record, voted map[uint64]bool) bool
	highestAccepted func(promises map[uint64]Response, fallback Record) Record
	previousMembers func(current, next Record) []Member
	mayBeFollowed   func(current, confirmed Record) bool
}

var standardRules = rules{
	quorum:          Quorum,
	highestAccepted: HighestAccepted,
	previousMembers: previousMembers,
	mayBeFollowed:   mayBeFollowed,
}

// previousMembers returns the old members if next changes the members, and nil otherwise. The next proposer must ask them as
// well, because a majority of them may not know the new members yet.
func previousMembers(current, next Record) []Member {
	if sameMembers(current.Members, next.Members) {
		return nil
	}
	return current.Members
}

// mayBeFollowed reports whether the current record may be replaced by another. A record that changed the members must be
// decided first: a majority of the old members must know the new ones. Otherwise a proposer that starts from the replacing record
// would not ask the old members and could miss what they decide.
func mayBeFollowed(current, confirmed Record) bool {
	return len(current.Previous) == 0 || current.Equal(confirmed)
}

// Proposal is one attempt to change the register under one number. It does no I/O: it returns the requests to send and is given
// the responses, in any order. A number must be used by one proposal only.
type Proposal struct {
	number    ProposalNumber
	start     Record
	confirmed Record // a record known to be decided
	change    Change
	rules     rules
	minVotes  int // minimum number of votes for a decision, in addition to the quorum of the record

	phase        Phase
	asked        map[uint64]bool     // members asked in the current phase
	responses    map[uint64]Response // responses of the current phase
	failed       map[uint64]bool     // members from which no response will come in the current phase
	current      Record              // the record read
	next         Record              // the record to write
	onlyConfirms bool                // next is the current record, so that it is decided before it is replaced
	highestRound uint64              // the highest round promised in any response
}

// NewProposal returns a proposal. start is the newest record known; its voters are the acceptors asked first. confirmed is the
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

// Phase returns the current phase.
func (p *Proposal) Phase() Phase { return p.phase }

// IsOver reports whether the proposal has been decided or has failed.
func (p *Proposal) IsOver() bool { return p.phase == PhaseDecided || p.phase == PhaseFailed }

// Decided returns the value that a quorum accepted. It is valid in PhaseDecided only.
func (p *Proposal) Decided() Record { return p.next }

// OnlyConfirmed reports, in PhaseDecided, whether the current record was decided unmodified, so that the change has yet to be
// made.
func (p *Proposal) OnlyConfirmed() bool { return p.onlyConfirms }

// Newest returns the newest record that the proposal has read so far.
func (p *Proposal) Newest() Record { return p.current }

// HighestRound returns the highest round that any acceptor reported as promised.
func (p *Proposal) HighestRound() uint64 { return p.highestRound }

// Begin returns the first requests. The proposal fails at once if the start record has no members.
func (p *Proposal) Begin() []Request {
	if len(p.start.Members) == 0 {
		p.phase = PhaseFailed
		return nil
	}
	return p.requestsFor(RequestPrepare, p.start.Voters(), Record{})
}

// Answer handles an acceptor's response to a request of the given kind and returns further requests. Of a response from an
// earlier phase, only the promised round is used.
func (p *Proposal) Answer(kind RequestKind, from uint64, response Response) []Request {
	p.highestRound = max(p.highestRound, response.Promised.Round)
	if !p.isAwaiting(kind, from) {
		return nil
	}
	p.responses[from] = response
	return p.advance()
}

// Fail records that no response to a request will come and returns further requests.
func (p *Proposal) Fail(kind RequestKind, from uint64) []Request {
	if !p.isAwaiting(kind, from) {
		return nil
	}
	p.failed[from] = true
	return p.advance()
}

// isAwaiting reports whether a response of the given kind from a member would count in the current phase.
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

// evaluatePromises begins the accept phase once the promises form a quorum of both the start record and the newest record
// among them. Voters that appear only in a newer record are asked as well.
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

// beginAccept chooses the next value and returns the requests to accept it, for the voters of the current record and of the next.
func (p *Proposal) beginAccept(voted map[uint64]bool) []Request {
	p.next = p.nextValue(voted)
	p.phase = PhaseAccept
	p.asked = map[uint64]bool{}
	p.responses = map[uint64]Response{}
	p.failed = map[uint64]bool{}
	both := Record{Members: p.current.Voters(), Previous: p.next.Voters()}
	return p.requestsFor(RequestAccept, both.Voters(), p.next)
}

// nextValue returns the value to write after the current one.
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

// evaluateAccepts ends the proposal once the accepts form a quorum of both the current and the next record, or no longer can.
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

// decides reports whether the votes form a quorum of a record.
func (p *Proposal) decides(record Record, voted map[uint64]bool) bool {
	return len(voted) >= p.minVotes && (p.rules.quorum(record, voted) || QuorumWithLostDisks(record, voted, p.lostDisks()))
}

// mayDecide reports whether the members that have voted or still may vote could form a quorum of a record.
func (p *Proposal) mayDecide(record Record, possible map[uint64]bool) bool {
	return len(possible) >= p.minVotes && QuorumWithLostDisks(record, possible, p.lostDisks())
}

// lostDisks returns the members whose disk is provably lost, according to the responses of the current phase.
func (p *Proposal) lostDisks() map[uint64]bool {
	lost := map[uint64]bool{}
	for id, response := range p.responses {
		if response.DiskLost {
			lost[id] = true
		}
	}
	return lost
}

// possibleVotes returns the members that have voted or still may vote.
func (p *Proposal) possibleVotes() map[uint64]bool {
	possible := granted(p.responses)
	for id := range p.asked {
		if _, responded := p.responses[id]; !responded && !p.failed[id] {
			possible[id] = true
		}
	}
	return possible
}

// requestsFor returns requests to the members that have not been asked in this phase, and marks them as asked.
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
