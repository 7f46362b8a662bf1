package election

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// voter returns what this process knows when it is asked for its vote to replace a primary.
func (e *Elector) voter() lease.Voter {
	known := e.Known()
	voter := lease.Voter{Now: e.config.Now(), StartedAt: e.startedAt, KnownEpoch: known.Epoch, KnownPrimary: known.Primary}
	e.config.Node.WithGroup(state.Group, func(g *replica.Group) {
		if view := g.View(); view.Epoch > known.Epoch {
			voter.KnownEpoch, voter.KnownPrimary = view.Epoch, view.Primary
		}
		voter.PrimaryConfirmedAt = g.PrimaryConfirmedAt()
		status := lease.Status{Role: lease.Primary, Ready: g.IsReady(), ConfirmedSince: g.ConfirmedSince(voter.Now)}
		voter.Leads = g.IsPrimary() && status.HasLease(voter.Now)
	})
	return voter
}

// grantsPreVote reports whether this process would vote for a candidate.
func (e *Elector) grantsPreVote(candidate, epoch uint64, mode PrepareMode) bool {
	return e.voter().Grants(lease.VoteRequest{Candidate: candidate, Epoch: epoch, LeadershipTransfer: mode == PrepareOnTransfer})
}

// protectsPrimary reports whether a majority confirmed the primary so recently that this process doesn't vote for any other candidate.
func (e *Elector) protectsPrimary() bool {
	voter := e.voter()
	return !voter.Grants(lease.VoteRequest{Epoch: voter.KnownEpoch})
}

// HandlePreVote answers a candidate's pre-vote request. A granted pre-vote is no promise.
func (e *Elector) HandlePreVote(message rpc.Message) {
	request, err := decodePreVoteRequest(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if request.To != e.config.Node.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	supported := e.grantsPreVote(request.Candidate, request.Epoch, request.Mode)
	message.Answer(codes.OK, preVoteResponse{Supported: supported, Record: e.Known()}.encode())
}

// winsPreVote asks all voters for a pre-vote to replace the primary of an epoch. It returns as soon as a quorum has granted its pre-vote
// or no quorum can any more.
func (e *Elector) winsPreVote(ctx context.Context, mode PrepareMode, epoch uint64) bool {
	known := e.Known()
	voters := known.Voters()
	type reply struct {
		voter     uint64
		supported bool
	}
	replies := make(chan reply, len(voters))
	supporters, possible, lost := map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
	for _, voter := range voters {
		possible[voter.ID] = true
		go func() { replies <- reply{voter.ID, e.requestPreVote(ctx, voter, mode, epoch)} }()
	}
	for consensus.QuorumWithLostDisks(known, possible, lost) {
		got := <-replies
		supporters[got.voter] = got.supported
		possible[got.voter] = got.supported
		lost[got.voter] = !got.supported && e.DiskLost(got.voter)
		if consensus.QuorumWithLostDisks(known, supporters, lost) {
			return true
		}
	}
	return false
}

// requestPreVote asks a voter, which may be this process itself, for its pre-vote and learns the record in the response.
func (e *Elector) requestPreVote(ctx context.Context, voter consensus.Member, mode PrepareMode, epoch uint64) bool {
	if voter.ID == e.config.Node.Identity {
		return e.grantsPreVote(voter.ID, epoch, mode)
	}
	request := preVoteRequest{To: voter.ID, Candidate: e.config.Node.Identity, Epoch: epoch, Mode: mode}
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := e.config.Clients.To(voter.Address).Call(call, controlclient.KindPreVote, request.encode())
	if err != nil {
		return false
	}
	response, err := decodePreVoteResponse(answer)
	if err != nil {
		return false
	}
	e.Learn(response.Record)
	return response.Supported
}
