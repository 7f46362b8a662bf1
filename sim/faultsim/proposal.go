package faultsim

import "otterseam/tier/consensus"

// prepareMode tells an acceptor why it is asked.
type prepareMode int

const (
	prepareBySelf     prepareMode = iota // the proposer is the primary, or bootstraps
	prepareOnSilence                     // the primary is silent; refused while the acceptor hears from it
	prepareOnTransfer                    // the primary asked for a successor
)

// attempt is a change of the register by a process, with the proposals that it takes.
type attempt struct {
	process   *process
	mode      prepareMode
	change    consensus.IdempotentChange
	confirmed consensus.Record
	proposals int
	ended     bool
}

// maxProposals is how many proposals an attempt makes before it gives up.
const maxProposals = 5

// propose changes the register; one attempt of a process runs at a time.
func (p *process) propose(mode prepareMode, start consensus.Record, change func(consensus.Record) (consensus.Record, bool)) {
	if p.proposing {
		return
	}
	p.proposing = true
	a := &attempt{process: p, mode: mode, change: consensus.IdempotentChange{Change: change}}
	p.afterIfRunning(proposeTimeout, a.end)
	a.begin(start)
}

func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.process.proposing = false
	}
}

// begin makes the next proposal. Its round is durable, as the process's disk writes rounds before it uses them.
func (a *attempt) begin(start consensus.Record) {
	if a.proposals == maxProposals {
		a.end()
		return
	}
	a.proposals++
	p := a.process
	p.round = max(p.round, p.acceptor.Promised.Round) + 1
	proposal := consensus.NewProposal(consensus.ProposalNumber{Round: p.round, Proposer: p.identity}, start, a.confirmed, a.change.Apply)
	a.send(proposal, proposal.Begin())
	a.follow(proposal)
}

func (a *attempt) send(proposal *consensus.Proposal, requests []consensus.Request) {
	for _, request := range requests {
		a.process.vote(request, a.mode, func(response consensus.Response) {
			if !a.ended {
				a.send(proposal, proposal.Answer(request.Kind, request.To.ID, response))
				a.follow(proposal)
			}
		}, func() {
			if !a.ended {
				a.send(proposal, proposal.Fail(request.Kind, request.To.ID))
				a.follow(proposal)
			}
		})
	}
}

// follow acts on a proposal that has come to its end.
func (a *attempt) follow(proposal *consensus.Proposal) {
	if a.ended || proposal.Phase() == consensus.PhasePrepare || proposal.Phase() == consensus.PhaseAccept {
		return
	}
	p := a.process
	p.round = max(p.round, proposal.HighestRound())
	switch {
	case proposal.Phase() == consensus.PhaseFailed:
		a.begin(proposal.Newest())
	case proposal.OnlyConfirmed():
		a.confirmed = proposal.Decided()
		a.begin(proposal.Newest())
	case a.change.Applied():
		a.end()
		p.lead(proposal.Decided())
	default:
		a.end()
		p.observeRecord(proposal.Decided(), true)
	}
}
