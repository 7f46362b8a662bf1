package faultsim

import "otterseam/tier/consensus"

// prepareMode is the reason for which a proposer prepares. An acceptor's response depends on it.
type prepareMode int

const (
	prepareBySelf     prepareMode = iota // the proposer is the primary or bootstraps the group
	prepareOnSilence                     // the primary is silent; acceptors that receive its heartbeats refuse
	prepareOnTransfer                    // the primary requested a transfer of its leadership
)

// attempt is the attempt of a process to change the register. It takes one or more proposals.
type attempt struct {
	process   *process
	mode      prepareMode
	change    consensus.IdempotentChange
	confirmed consensus.Record
	proposals int
	ended     bool
}

// maxProposals is the number of proposals after which an attempt gives up.
const maxProposals = 5

// propose starts an attempt to change the register. It does nothing while another attempt of the process runs.
func (p *process) propose(mode prepareMode, start consensus.Record, change func(consensus.Record) (consensus.Record, bool)) {
	if p.proposing {
		return
	}
	p.proposing = true
	a := &attempt{process: p, mode: mode, change: consensus.IdempotentChange{Change: change}}
	p.afterIfRunning(proposeTimeout, a.end)
	a.startProposal(start)
}

func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.process.proposing = false
	}
}

// startProposal starts the next proposal. Its round counts as durable, as a process writes each round to its disk before it uses it.
func (a *attempt) startProposal(start consensus.Record) {
	if a.proposals == maxProposals {
		a.end()
		return
	}
	a.proposals++
	p := a.process
	p.round = max(p.round, p.acceptor.Promised.Round) + 1
	proposal := consensus.NewProposal(consensus.ProposalNumber{Round: p.round, Proposer: p.identity}, start, a.confirmed, a.change.Apply)
	a.sendRequests(proposal, proposal.Begin())
	a.handlePhase(proposal)
}

func (a *attempt) sendRequests(proposal *consensus.Proposal, requests []consensus.Request) {
	for _, request := range requests {
		a.process.vote(request, a.mode, func(response consensus.Response) {
			if !a.ended {
				a.sendRequests(proposal, proposal.Answer(request.Kind, request.To.ID, response))
				a.handlePhase(proposal)
			}
		}, func() {
			if !a.ended {
				a.sendRequests(proposal, proposal.Fail(request.Kind, request.To.ID))
				a.handlePhase(proposal)
			}
		})
	}
}

// handlePhase handles a proposal that was decided or has failed. It does nothing while the proposal is in an earlier phase.
func (a *attempt) handlePhase(proposal *consensus.Proposal) {
	if a.ended || proposal.Phase() == consensus.PhasePrepare || proposal.Phase() == consensus.PhaseAccept {
		return
	}
	p := a.process
	p.round = max(p.round, proposal.HighestRound())
	switch {
	case proposal.Phase() == consensus.PhaseFailed:
		a.startProposal(proposal.Newest())
	case proposal.OnlyConfirmed():
		a.confirmed = proposal.Decided()
		a.startProposal(proposal.Newest())
	case a.change.Applied():
		a.end()
		p.lead(proposal.Decided())
	default:
		a.end()
		p.observeRecord(proposal.Decided(), true)
	}
}
