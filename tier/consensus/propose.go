package consensus

import (
	"context"

	"otterseam/tier/codes"
)

// Transport reaches the witnesses. A witness of another identity at the address gives no promise.
type Transport interface {
	Prepare(ctx context.Context, to Member, ballot ProposalNumber) (Response, error)
	Accept(ctx context.Context, to Member, ballot ProposalNumber, value Record) (Response, error)
}

// Change is a compare-and-set: it returns the value that is to follow the current one, or false to leave it. It may be asked
// several times for one proposal, and the current value may then be one that it returned before.
type Change func(current Record, reached map[uint64]bool) (next Record, wanted bool)

// maxAttempts bounds the proposals of one change: failed ones, and those that only confirm a change of members.
const maxAttempts = 5

// Propose reads the register and changes it. start is the newest record known, which names the witnesses to begin with. On an
// error the change may or may not take effect later.
func Propose(ctx context.Context, transport Transport, proposer uint64, rounds *RoundAllocator, start Record, change Change) (Record, error) {
	return propose(ctx, transport, proposer, rounds, start, 0, change)
}

// propose is Propose where at least a number of members have to vote.
func propose(ctx context.Context, transport Transport, proposer uint64, rounds *RoundAllocator, start Record, least int, change Change) (Record, error) {
	var confirmed Record
	for range maxAttempts {
		round, err := rounds.Next()
		if err != nil {
			return start, err
		}
		proposal := NewProposal(ProposalNumber{Round: round, Proposer: proposer}, start, confirmed, change)
		proposal.minVotes = least
		run(ctx, transport, proposal)
		rounds.Observe(proposal.HighestRound())
		start = proposal.Newest()
		if proposal.Phase() != PhaseDecided {
			if ctx.Err() != nil {
				return start, codes.Timeout
			}
			continue
		}
		if !proposal.OnlyConfirmed() {
			return proposal.Decided(), nil
		}
		confirmed = proposal.Decided()
	}
	return start, codes.Unavailable
}

// reply is a witness's answer to a request.
type reply struct {
	request Request
	promise Response
	err     error
}

// run sends a proposal's requests and hands it the answers until it is decided or has failed. Requests may still be under way
// when it returns; they carry the proposal's own ballot and value and so change nothing that is decided.
func run(ctx context.Context, transport Transport, proposal *Proposal) {
	ended := make(chan struct{})
	defer close(ended)
	replies := make(chan reply)
	send := func(requests []Request) {
		for _, request := range requests {
			go func() {
				answer := sendRequest(ctx, transport, request)
				select {
				case replies <- answer:
				case <-ended:
				}
			}()
		}
	}
	send(proposal.Begin())
	for proposal.Phase() == PhasePrepare || proposal.Phase() == PhaseAccept {
		got := <-replies
		if got.err != nil {
			send(proposal.Fail(got.request.Kind, got.request.To.ID))
		} else {
			send(proposal.Answer(got.request.Kind, got.request.To.ID, got.promise))
		}
	}
}

func sendRequest(ctx context.Context, transport Transport, request Request) reply {
	got := reply{request: request}
	if request.Kind == RequestPrepare {
		got.promise, got.err = transport.Prepare(ctx, request.To, request.Number)
	} else {
		got.promise, got.err = transport.Accept(ctx, request.To, request.Number, request.Value)
	}
	return got
}

// previousMembers are the members that a next writer has to ask besides, because a majority of them may not know the new ones yet.
func previousMembers(current, next Record) []Member {
	if sameMembers(current.Members, next.Members) {
		return nil
	}
	return current.Members
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !HasMember(b, member.ID) {
			return false
		}
	}
	return true
}

func granted(promises map[uint64]Response) map[uint64]bool {
	voted := map[uint64]bool{}
	for id, promise := range promises {
		if promise.Granted {
			voted[id] = true
		}
	}
	return voted
}
