package consensus

import (
	"encoding/binary"
	"maps"
	"os"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"otterseam/tier/codec"
)

// The exploration is a bounded model check: it visits every interleaving of two proposers and their acceptors, up to a number of
// steps. Each proposer runs in a process that also holds an acceptor and may restart once. One of the proposers replaces a member.
// A request stays in the network for ever: it may be delivered again, and late, after its proposer has given up or restarted. A
// response is delivered in the same step as its request or is lost. Delayed responses need no steps of their own: a proposer uses
// a response only while it waits for it in the same phase, which is equivalent to an immediate delivery.

// faults are the protocol violations that the exploration must detect.
type faults struct {
	rules             rules
	roundFromAcceptor bool // a new incarnation derives its round from its own acceptor
	unsynced          bool // an acceptor responds before its state is durable
	secondValue       bool // an acceptor accepts a second value under the same number
	acceptsBelow      bool // an acceptor accepts a number below its promise
	hidesValue        bool // an acceptor doesn't report the value that it accepted
}

const (
	exploredMembers   = 3
	exploredAcceptors = 4 // the fourth is the new member
)

// sentRequest is a request in the network. It is never removed.
type sentRequest struct {
	proposer int
	attempt  int // number of the proposer's attempt, counted over all its incarnations
	request  Request
	hash     uint64
}

// scenario restricts the steps that are explored.
type scenario struct {
	changeMembers bool      // the second proposer's first incarnation replaces member 3 by 4
	attempts      [2]int    // maximum number of proposals of each proposer per incarnation
	restarts      [2]bool   // whether each proposer's process may restart
	reach         reachFunc // which requests may be delivered
	reduced       bool      // an awaited response is never lost, and the second proposer gives up only in the accept phase
}

type reachFunc func(proposer, attempt int, kind RequestKind, to uint64) bool

func reachAll(int, int, RequestKind, uint64) bool { return true }

func unrestrictedScenario(changeMembers bool) scenario {
	return scenario{changeMembers: changeMembers, attempts: [2]int{2, 2}, restarts: [2]bool{true, true}, reach: reachAll}
}

// exploredProposer is a proposer's process without its acceptor. It is immutable once it is part of a state.
type exploredProposer struct {
	incarnation    int
	attempts       int // attempts begun in this incarnation
	attemptsBefore int // attempts begun in the previous incarnation
	lastRound      uint64
	roundLimit     uint64
	durableLimit   uint64
	known          Record
	confirmed      Record
	decidedBefore  []uint64 // the longest decided history when the proposal began
	proposal       *Proposal
	hash           uint64
}

// exploredAcceptorState is an acceptor in memory and on disk.
type exploredAcceptorState struct {
	memory, disk Acceptor
	hash         uint64
}

// exploredState is the state of all processes and of the network. Its parts are shared with other states and are immutable.
type exploredState struct {
	acceptors [exploredAcceptors]*exploredAcceptorState
	proposers [2]*exploredProposer
	sent      []sentRequest
	sentHash  uint64
	decided   []uint64 // the longest decided history
	violation string
}

func hashOf(encode func(*codec.Encoder)) uint64 {
	var e codec.Encoder
	encode(&e)
	return xxhash.Sum64(e.Bytes)
}

func encodePromises(e *codec.Encoder, promises map[uint64]Response) {
	for id := uint64(1); id <= exploredAcceptors; id++ {
		promise, found := promises[id]
		e.Bool(found)
		if found {
			e.Bool(promise.Granted)
			EncodeProposalNumber(e, promise.Accepted)
			EncodeRecord(e, promise.Value)
		}
	}
}

func (p *exploredProposer) withHash() *exploredProposer {
	p.hash = hashOf(func(e *codec.Encoder) {
		e.Uint64s([]uint64{uint64(p.incarnation), uint64(p.attempts), uint64(p.attemptsBefore), p.lastRound, p.roundLimit, p.durableLimit})
		EncodeRecord(e, p.known)
		EncodeRecord(e, p.confirmed)
		e.Uint64s(p.decidedBefore)
		if p.proposal == nil {
			return
		}
		EncodeProposalNumber(e, p.proposal.number)
		e.Uint8(uint8(p.proposal.phase))
		e.Bool(p.proposal.onlyConfirms)
		e.Uint64(p.proposal.highestRound)
		EncodeRecord(e, p.proposal.start)
		EncodeRecord(e, p.proposal.next)
		EncodeRecord(e, p.proposal.current)
		encodePromises(e, p.proposal.responses)
		for id := uint64(1); id <= exploredAcceptors; id++ {
			e.Bool(p.proposal.asked[id])
		}
	})
	return p
}

func (a *exploredAcceptorState) withHash() *exploredAcceptorState {
	a.hash = hashOf(func(e *codec.Encoder) {
		e.Bytes = append(e.Bytes, a.memory.Encode()...)
		e.Bytes = append(e.Bytes, a.disk.Encode()...)
	})
	return a
}

func (s *exploredState) hash() uint64 {
	var bytes []byte
	for _, acceptor := range s.acceptors {
		bytes = binary.BigEndian.AppendUint64(bytes, acceptor.hash)
	}
	for _, proposer := range s.proposers {
		bytes = binary.BigEndian.AppendUint64(bytes, proposer.hash)
	}
	bytes = binary.BigEndian.AppendUint64(bytes, s.sentHash)
	for _, mark := range s.decided {
		bytes = append(bytes, byte(mark))
	}
	return xxhash.Sum64(bytes)
}

// explorer computes successor states. It caches votes and the handling of responses.
type explorer struct {
	faults    faults
	scenario  scenario
	votes     map[voteKey]voteResult
	responses map[responseKey]responseResult
}

func newExplorer(faults faults, scenario scenario) *explorer {
	return &explorer{faults: faults, scenario: scenario, votes: map[voteKey]voteResult{}, responses: map[responseKey]responseResult{}}
}

func (x *explorer) initialState() *exploredState {
	s := &exploredState{}
	start := Record{Epoch: 1}
	for id := uint64(1); id <= exploredMembers; id++ {
		start.Members = append(start.Members, Member{ID: id})
	}
	for i := range s.acceptors {
		a := &exploredAcceptorState{}
		if i < exploredMembers {
			a.memory = Acceptor{Promised: ProposalNumber{1, 9}, Accepted: ProposalNumber{1, 9}, Value: start}
			a.disk = a.memory
		}
		s.acceptors[i] = a.withHash()
	}
	for i := range s.proposers {
		s.proposers[i] = (&exploredProposer{known: start, lastRound: 1, roundLimit: 1, durableLimit: 1}).withHash()
	}
	return s
}

// change returns the change that a proposer makes in an incarnation. If the scenario changes members, the second proposer's first
// incarnation replaces member 3 by 4.
func (x *explorer) change(proposer, incarnation int) Change {
	mark := uint64(1 + proposer + 2*incarnation)
	if x.scenario.changeMembers && proposer == 1 && incarnation == 0 {
		return appendMark(mark, 3, 4)
	}
	return appendMark(mark, 0, 0)
}

// successors returns the states that one step leads to.
func (x *explorer) successors(s *exploredState) []*exploredState {
	next := x.proposerSuccessors(s)
	for _, sent := range s.sent {
		if !x.scenario.reach(sent.proposer, sent.attempt, sent.request.Kind, sent.request.To.ID) {
			continue
		}
		lost, responded := x.deliver(s, sent)
		if lost != nil {
			next = append(next, lost)
		}
		if responded != nil {
			next = append(next, responded)
		}
	}
	if x.faults.unsynced {
		for i := range s.acceptors {
			next = append(next, x.sync(s, i))
		}
	}
	return next
}

// proposerSuccessors returns the states after a proposer begins, gives up or restarts.
func (x *explorer) proposerSuccessors(s *exploredState) []*exploredState {
	var next []*exploredState
	for i, p := range s.proposers {
		if p.proposal == nil && p.attempts < x.scenario.attempts[i] {
			next = append(next, x.begin(s, i))
		}
		if p.proposal != nil && (!x.scenario.reduced || i == 0 || p.proposal.phase == PhaseAccept) {
			next = append(next, x.giveUp(s, i))
		}
		if p.incarnation == 0 && x.scenario.restarts[i] {
			next = append(next, x.restart(s, i))
		}
	}
	return next
}

func (x *explorer) begin(s *exploredState, i int) *exploredState {
	after := *s
	p := *s.proposers[i]
	rounds := &RoundAllocator{last: p.lastRound, limit: p.roundLimit, reserve: func(limit uint64) error {
		p.durableLimit = limit
		return nil
	}}
	if x.faults.roundFromAcceptor {
		rounds.last = max(p.lastRound, s.acceptors[i].memory.Promised.Round)
		rounds.limit = ^uint64(0)
	}
	round, _ := rounds.Next()
	p.lastRound, p.roundLimit = rounds.last, rounds.limit
	p.attempts++
	p.decidedBefore = s.decided
	start := p.known
	if accepted := s.acceptors[i].memory.Value; accepted.Epoch > start.Epoch {
		start = accepted
	}
	p.proposal = NewProposal(ProposalNumber{round, uint64(i + 1)}, start, p.confirmed, x.change(i, p.incarnation))
	p.proposal.rules = x.faults.rules
	after.send(i, p.attemptsBefore+p.attempts-1, p.proposal.Begin())
	after.proposers[i] = p.withHash()
	return &after
}

func (s *exploredState) send(proposer, attempt int, requests []Request) {
	if len(requests) == 0 {
		return
	}
	s.sent = append([]sentRequest(nil), s.sent...)
	for _, request := range requests {
		hash := hashOf(func(e *codec.Encoder) {
			e.Uint8(uint8(request.Kind))
			e.Uint64(request.To.ID)
			EncodeProposalNumber(e, request.Number)
			EncodeRecord(e, request.Value)
		})
		s.sent = append(s.sent, sentRequest{proposer, attempt, request, hash})
		s.sentHash += hash
	}
}

func (x *explorer) giveUp(s *exploredState, i int) *exploredState {
	after := *s
	p := *s.proposers[i]
	p.lastRound = max(p.lastRound, p.proposal.HighestRound())
	p.known = p.proposal.Newest()
	p.proposal = nil
	after.proposers[i] = p.withHash()
	return &after
}

func (x *explorer) restart(s *exploredState, i int) *exploredState {
	after := *s
	a := exploredAcceptorState{memory: s.acceptors[i].disk, disk: s.acceptors[i].disk}
	after.acceptors[i] = a.withHash()
	p := exploredProposer{incarnation: 1, attemptsBefore: s.proposers[i].attempts, lastRound: s.proposers[i].durableLimit, roundLimit: s.proposers[i].durableLimit, durableLimit: s.proposers[i].durableLimit, known: a.disk.Value}
	if x.faults.roundFromAcceptor {
		p.lastRound = 0
	}
	after.proposers[i] = p.withHash()
	return &after
}

func (x *explorer) sync(s *exploredState, i int) *exploredState {
	after := *s
	after.acceptors[i] = (&exploredAcceptorState{memory: s.acceptors[i].memory, disk: s.acceptors[i].memory}).withHash()
	return &after
}

// deliver delivers a request to its acceptor. It returns the state in which the response is lost, nil if that changes nothing, and
// the state in which the proposer receives it, nil if the proposer doesn't wait for it any more.
func (x *explorer) deliver(s *exploredState, sent sentRequest) (lost, responded *exploredState) {
	position := int(sent.request.To.ID) - 1
	before := s.acceptors[position]
	vote := x.vote(before, sent)
	after := *s
	after.acceptors[position] = vote.acceptor
	if vote.acceptor.hash != before.hash {
		lost = &after
	}
	p := s.proposers[sent.proposer]
	if p.proposal == nil || p.proposal.number != sent.request.Number || !p.proposal.isAwaiting(sent.request.Kind, sent.request.To.ID) {
		return lost, nil
	}
	if x.scenario.reduced {
		lost = nil
	}
	return lost, x.respond(&after, sent, vote)
}

// voteKey identifies the acceptor state and the request that determine a vote.
type voteKey struct{ acceptor, request uint64 }

// voteResult is an acceptor after a request, and its response.
type voteResult struct {
	acceptor *exploredAcceptorState
	response Response
}

func (x *explorer) vote(before *exploredAcceptorState, sent sentRequest) voteResult {
	key := voteKey{before.hash, sent.hash}
	if known, found := x.votes[key]; found {
		return known
	}
	a := *before
	grantedVote := x.voteOnce(&a.memory, sent.request)
	if !x.faults.unsynced {
		a.disk = a.memory
	}
	response := Response{Granted: grantedVote, Promised: a.memory.Promised, Accepted: a.memory.Accepted, Value: a.memory.Value}
	if x.faults.hidesValue {
		response.Accepted, response.Value = ProposalNumber{}, Record{}
	}
	result := voteResult{a.withHash(), response}
	x.votes[key] = result
	return result
}

func (x *explorer) voteOnce(a *Acceptor, request Request) bool {
	if request.Kind == RequestPrepare {
		return a.Prepare(request.Number)
	}
	if x.faults.acceptsBelow {
		a.Promised = ProposalNumber{}
	}
	if x.faults.secondValue && a.Accepted == request.Number {
		a.Accepted = ProposalNumber{}
	}
	return a.Accept(request.Number, request.Value)
}

// responseKey identifies the inputs that determine the result of a response.
type responseKey struct {
	proposer, request, acceptor uint64
	granted                     bool
}

// responseResult is a proposer after a response, with the requests that it sends and the record that it decided, if any.
type responseResult struct {
	proposer *exploredProposer
	requests []Request
	decided  bool
	record   Record
}

func (x *explorer) respond(s *exploredState, sent sentRequest, vote voteResult) *exploredState {
	p := s.proposers[sent.proposer]
	key := responseKey{p.hash, sent.hash, vote.acceptor.hash, vote.response.Granted}
	result, found := x.responses[key]
	if !found {
		result = handleResponse(p, sent, vote.response)
		x.responses[key] = result
	}
	after := *s
	after.proposers[sent.proposer] = result.proposer
	after.send(sent.proposer, sent.attempt, result.requests)
	if result.decided {
		after.check(result.record, p.decidedBefore)
	}
	return &after
}

func handleResponse(before *exploredProposer, sent sentRequest, response Response) responseResult {
	p := *before
	proposal := *p.proposal
	proposal.asked = maps.Clone(proposal.asked)
	proposal.responses = maps.Clone(proposal.responses)
	p.proposal = &proposal
	result := responseResult{requests: proposal.Answer(sent.request.Kind, sent.request.To.ID, response)}
	switch proposal.Phase() {
	case PhaseDecided:
		result.decided = true
		result.record = proposal.Decided()
		p.known = result.record
		p.confirmed = Record{}
		if proposal.OnlyConfirmed() {
			p.confirmed = p.known
		}
		p.proposal = nil
	case PhaseFailed:
		p.lastRound = max(p.lastRound, proposal.HighestRound())
		p.known = proposal.Newest()
		p.proposal = nil
	}
	result.proposer = p.withHash()
	return result
}

// check sets violation unless a decided record extends the history decided before its proposal began and is on one history with
// all records decided so far.
func (s *exploredState) check(record Record, decidedBefore []uint64) {
	switch {
	case !isPrefix(decidedBefore, record.InSync):
		s.violation = "a decided history lacks what was decided before its proposal began"
	case isPrefix(s.decided, record.InSync):
		s.decided = record.InSync
	case !isPrefix(record.InSync, s.decided):
		s.violation = "two diverging histories were decided"
	}
}

// explorationResult is the result of an exploration.
type explorationResult struct {
	states    int
	depth     int // the number of levels explored in full
	violation string
}

// run explores the states breadth-first, up to a depth and a number of states. It stops at the first violation.
func (x *explorer) run(depth, maxStates int) explorationResult {
	start := x.initialState()
	seen := map[uint64]struct{}{start.hash(): {}}
	level := []*exploredState{start}
	found := explorationResult{states: 1}
	for ; found.depth < depth && len(level) > 0; found.depth++ {
		var nextLevel []*exploredState
		for _, state := range level {
			for _, next := range x.successors(state) {
				if next.violation != "" {
					found.violation = next.violation
					return found
				}
				hash := next.hash()
				if _, known := seen[hash]; known {
					continue
				}
				seen[hash] = struct{}{}
				nextLevel = append(nextLevel, next)
				if found.states++; found.states >= maxStates {
					return found
				}
			}
		}
		level = nextLevel
	}
	return found
}

const (
	depthVariable        = "TIER_EXPLORE_DEPTH"
	defaultDepth         = 8
	explorationMaxStates = 60_000_000
	faultDepth           = 26
	faultMaxStates       = 400_000
)

func explorationDepth() int {
	if depth, err := strconv.Atoi(os.Getenv(depthVariable)); err == nil {
		return depth
	}
	return defaultDepth
}

// No interleaving decides two diverging histories. TIER_EXPLORE_DEPTH sets the number of steps.
func TestNoInterleavingDecidesTwoHistories(t *testing.T) {
	x := newExplorer(faults{rules: standardRules}, unrestrictedScenario(true))
	found := x.run(explorationDepth(), explorationMaxStates)
	t.Logf("%d states, %d steps", found.states, found.depth)
	if found.violation != "" {
		t.Fatalf("after %d steps: %s", found.depth+1, found.violation)
	}
}

// The exploration detects each fault within faultDepth steps and faultMaxStates states, and finds no violation without the fault.
func TestExplorationDetectsFaults(t *testing.T) {
	halfQuorum := func(record Record, voted map[uint64]bool) bool {
		return halfOf(record.Members, voted) && halfOf(record.Previous, voted)
	}
	lowestAccepted := func(promises map[uint64]Response, fallback Record) Record {
		best, value := ProposalNumber{Round: ^uint64(0)}, fallback
		for _, promise := range promises {
			if promise.Granted && promise.Value.IsBootstrapped() && promise.Accepted.Less(best) {
				best, value = promise.Accepted, promise.Value
			}
		}
		return value
	}
	for _, test := range []struct {
		name     string
		inject   func(*faults)
		scenario scenario
	}{
		{"two incarnations use the same number", func(f *faults) { f.roundFromAcceptor, f.secondValue = true, true }, restartScenario},
		{"an acceptor responds before its state is durable", func(f *faults) { f.unsynced = true }, unsyncedScenario},
		{"an acceptor accepts below its promise", func(f *faults) { f.acceptsBelow = true }, oneAttemptEach},
		{"an acceptor hides what it accepted", func(f *faults) { f.hidesValue = true }, oneAttemptEach},
		{"half of the members are a quorum", func(f *faults) { f.rules.quorum = halfQuorum }, unrestrictedScenario(false)},
		{"the value with the lowest number is chosen", func(f *faults) { f.rules.highestAccepted = lowestAccepted }, oneAttemptEach},
		{"a pending change of members is forgotten", func(f *faults) {
			f.rules.previousMembers = func(Record, Record) []Member { return nil }
		}, memberScenario},
		{"an undecided change of members is replaced", func(f *faults) {
			f.rules.mayBeFollowed = func(Record, Record) bool { return true }
		}, memberScenario},
	} {
		t.Run(test.name, func(t *testing.T) {
			faulty := faults{rules: standardRules}
			test.inject(&faulty)
			found := newExplorer(faulty, test.scenario).run(faultDepth, faultMaxStates)
			if found.violation == "" {
				t.Fatalf("not detected in %d states, %d steps", found.states, found.depth)
			}
			t.Logf("%d states, %d steps: %s", found.states, found.depth+1, found.violation)
			correct := newExplorer(faults{rules: standardRules}, test.scenario).run(found.depth+1, found.states)
			if correct.violation != "" {
				t.Fatalf("violation without the fault in the same scenario: %s", correct.violation)
			}
		})
	}
}

var (
	// oneAttemptEach allows each proposer one attempt.
	oneAttemptEach = scenario{attempts: [2]int{1, 1}, reach: reachAll}

	// restartScenario lets the first proposer reach acceptors 2 and 3 before its restart and 1 and 2 after it. The second proposer
	// reaches 2 and 3.
	restartScenario = scenario{
		attempts: [2]int{1, 1}, restarts: [2]bool{true, false}, reduced: true,
		reach: func(proposer, attempt int, _ RequestKind, to uint64) bool {
			if proposer == 0 && attempt == 1 {
				return to != 3
			}
			return to != 1
		},
	}

	// unsyncedScenario lets the first proposer reach acceptors 1 and 3, and the second one 1 and 2.
	unsyncedScenario = scenario{
		attempts: [2]int{1, 1}, restarts: [2]bool{true, false}, reduced: true,
		reach: func(proposer, _ int, _ RequestKind, to uint64) bool {
			return to == 1 || (proposer == 0) == (to == 3)
		},
	}

	// memberScenario lets only acceptors 2 and 4 accept the change of members, while the first proposer reaches 1 and 3.
	memberScenario = scenario{
		changeMembers: true, attempts: [2]int{2, 3}, reduced: true,
		reach: func(proposer, attempt int, kind RequestKind, to uint64) bool {
			switch {
			case proposer == 0 && attempt == 0:
				return to == 3
			case proposer == 0:
				return to%2 == 1
			case kind == RequestAccept || attempt > 1:
				return to%2 == 0
			case attempt == 0:
				return to <= 2
			default:
				return to != 1
			}
		},
	}
)

func halfOf(members []Member, voted map[uint64]bool) bool {
	count := 0
	for _, member := range members {
		if voted[member.ID] {
			count++
		}
	}
	return 2*count >= len(members)-1
}
