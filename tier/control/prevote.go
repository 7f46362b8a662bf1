package control

import (
	"context"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// voter is what this process knows when it is asked to help to replace a primary.
func (e *Elector) voter() lease.Voter {
	known := e.Known()
	voter := lease.Voter{Now: multigroup.Now(), StartedAt: e.startedAt, KnownEpoch: known.Epoch, KnownPrimary: known.Primary}
	e.host.WithGroup(controlGroup, func(g *replica.Group) {
		if view := g.View(); view.Epoch > known.Epoch {
			voter.KnownEpoch, voter.KnownPrimary = view.Epoch, view.Primary
		}
		voter.PrimaryConfirmedAt = g.PrimaryConfirmedAt()
		standing := lease.Status{Role: lease.Primary, Ready: g.IsReady(), ConfirmedSince: g.ConfirmedSince(voter.Now)}
		voter.Leads = g.IsPrimary() && standing.HasLease(voter.Now)
	})
	return voter
}

// supports tells whether this process would help a candidate.
func (e *Elector) supports(candidate, epoch uint64, mode prepareMode) bool {
	return e.voter().Grants(lease.VoteRequest{Candidate: candidate, Epoch: epoch, LeadershipTransfer: mode == prepareOnTransfer})
}

// protectsPrimary tells whether a majority stood behind a primary so lately that this process helps nobody to replace it.
func (e *Elector) protectsPrimary() bool {
	voter := e.voter()
	return !voter.Grants(lease.VoteRequest{Epoch: voter.KnownEpoch})
}

// handleSupport answers a candidate that asks whether it would be followed. Nothing is promised.
func (e *Elector) handleSupport(message rpc.Message) {
	d := codec.NewDecoder(message.Payload)
	to := d.Uint64()
	candidate := d.Uint64()
	epoch := d.Uint64()
	mode := prepareMode(d.Uint8())
	if d.Err() != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if to != e.host.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	var answer codec.Encoder
	answer.Bool(e.supports(candidate, epoch, mode))
	consensus.EncodeRecord(&answer, e.Known())
	message.Answer(codes.OK, answer.Bytes)
}

// askSupport asks all voters whether they would help this process to replace the primary of an epoch. It returns once enough
// would, or enough would not.
func (e *Elector) askSupport(ctx context.Context, mode prepareMode, epoch uint64) bool {
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
		go func() { replies <- reply{voter.ID, e.askVoter(ctx, voter, mode, epoch)} }()
	}
	for consensus.QuorumWithLostDisks(known, possible, lost) {
		got := <-replies
		supporters[got.voter] = got.supported
		possible[got.voter] = got.supported
		lost[got.voter] = !got.supported && e.lost(got.voter)
		if consensus.QuorumWithLostDisks(known, supporters, lost) {
			return true
		}
	}
	return false
}

func (e *Elector) askVoter(ctx context.Context, voter consensus.Member, mode prepareMode, epoch uint64) bool {
	if voter.ID == e.host.Identity {
		return e.supports(voter.ID, epoch, mode)
	}
	var question codec.Encoder
	question.Uint64(voter.ID)
	question.Uint64(e.host.Identity)
	question.Uint64(epoch)
	question.Uint8(uint8(mode))
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := e.clients.To(voter.Address).Call(call, controlclient.KindPreVote, question.Bytes)
	if err != nil {
		return false
	}
	d := codec.NewDecoder(answer)
	supported := d.Bool()
	record := consensus.DecodeRecord(d)
	if d.Err() != nil {
		return false
	}
	e.Learn(record)
	return supported
}
