package consensus

import (
	"context"

	"otterseam/tier/codes"
)

// Transport sends requests to acceptors. If a process of another identity is now at the address, the request is not granted.
type Transport interface {
	Prepare(ctx context.Context, to Member, number ProposalNumber) (Response, error)
	Accept(ctx context.Context, to Member, number ProposalNumber, value Record) (Response, error)
}

// Change is the compare-and-set function of a proposal: it returns the value to replace the current one, or false to keep the
// current one. reached holds the members that granted the prepare. It may be called several times in one [Proposer.Propose], and
// the current value may then be one that it returned before.
type Change func(current Record, reached map[uint64]bool) (next Record, wanted bool)

// maxAttempts bounds the proposals of one change, including failed ones and those that only confirm a change of members.
const maxAttempts = 5

// Proposer changes the register over a transport.
type Proposer struct {
	ID        uint64 // identity of the process, part of its proposal numbers
	Rounds    *RoundAllocator
	Transport Transport
}

// Propose reads the register and changes it. start is the newest record known; its voters are the acceptors asked first. It
// returns the decided record or, with an error, the newest record read. After an error, the change may still take effect later.
func (p Proposer) Propose(ctx context.Context, start Record, change Change) (Record, error) {
	return p.propose(ctx, start, 0, change)
}

// Bootstrap decides the first record, whose members must be more than half of the seeds. Several processes may bootstrap
// concurrently with different subsets of the seeds. The majorities of two such subsets need not overlap, so more than half of all
// seeds must vote. Any two such votes have a seed in common, where the later proposer reads what the earlier one decided.
func (p Proposer) Bootstrap(ctx context.Context, members []Member, seeds int, change Change) (Record, error) {
	return p.propose(ctx, Record{Members: members}, seeds/2+1, change)
}

// propose is [Proposer.Propose] with a minimum number of votes.
func (p Proposer) propose(ctx context.Context, start Record, minVotes int, change Change) (Record, error) {
	var confirmed Record
	for range maxAttempts {
		round, err := p.Rounds.Next()
		if err != nil {
			return start, err
		}
		proposal := NewProposal(ProposalNumber{Round: round, Proposer: p.ID}, start, confirmed, change)
		proposal.minVotes = minVotes
		run(ctx, p.Transport, proposal)
		p.Rounds.Observe(proposal.HighestRound())
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

// reply is the outcome of a request: the response or the transport's error.
type reply struct {
	request  Request
	response Response
	err      error
}

// run sends a proposal's requests and passes it the replies until it is decided or has failed. Requests may still be in flight
// when it returns. They carry the proposal's own number and value and therefore can't change a decided value.
func run(ctx context.Context, transport Transport, proposal *Proposal) {
	ended := make(chan struct{})
	defer close(ended)
	replies := make(chan reply)
	send := func(requests []Request) {
		for _, request := range requests {
			go func() {
				received := sendRequest(ctx, transport, request)
				select {
				case replies <- received:
				case <-ended:
				}
			}()
		}
	}
	send(proposal.Begin())
	for !proposal.IsOver() {
		received := <-replies
		if received.err != nil {
			send(proposal.Fail(received.request.Kind, received.request.To.ID))
		} else {
			send(proposal.Answer(received.request.Kind, received.request.To.ID, received.response))
		}
	}
}

func sendRequest(ctx context.Context, transport Transport, request Request) reply {
	received := reply{request: request}
	if request.Kind == RequestPrepare {
		received.response, received.err = transport.Prepare(ctx, request.To, request.Number)
	} else {
		received.response, received.err = transport.Accept(ctx, request.To, request.Number, request.Value)
	}
	return received
}
