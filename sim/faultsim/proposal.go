package faultsim

import "otterseam/tier/consensus"

// prepareMode tells a witness why it is asked.
type prepareMode int

const (
	prepareBySelf prepareMode = iota
	prepareOnSilence
	prepareOnTransfer
)

// attempt is a change of the register by a process, with the proposals that it takes.
type attempt struct {
	process   *process
	mode      prepareMode
	own       consensus.IdempotentChange
	confirmed consensus.Record
	proposals int
	ended     bool
}

const maxProposals = 5

// propose changes the register; one attempt of a process runs at a time.
func (p *process) propose(mode prepareMode, start consensus.Record, change func(consensus.Record) (consensus.Record, bool)) {
	if p.busy {
		return
	}
	p.busy = true
	a := &attempt{process: p, mode: mode, own: consensus.IdempotentChange{Change: change}}
	p.later(proposeTimeout, a.end)
	a.begin(start)
}

func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.process.busy = false
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
	p.round = max(p.round, p.witness.Promised.Round) + 1
	proposal := consensus.NewProposal(consensus.ProposalNumber{Round: p.round, Proposer: p.identity}, start, a.confirmed, a.own.Apply)
	a.send(proposal, proposal.Begin())
	a.follow(proposal)
}

func (a *attempt) send(proposal *consensus.Proposal, requests []consensus.Request) {
	for _, request := range requests {
		a.process.vote(request, a.mode, func(promise consensus.Response) {
			if !a.ended {
				a.send(proposal, proposal.Answer(request.Kind, request.To.ID, promise))
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
	case a.own.Applied():
		a.end()
		p.lead(proposal.Decided())
	default:
		a.end()
		p.note(proposal.Decided(), true)
	}
}

const voteTimeout = 350 // milliseconds

// vote has a witness act on a request and answer once that is durable. Another identity at the address gives no vote; it may be the
// proof that the witness's disk is lost.
func (p *process) vote(request consensus.Request, mode prepareMode, answered func(consensus.Response), failed func()) {
	done := false
	once := func(act func()) func() {
		return func() {
			if !done {
				done = true
				act()
			}
		}
	}
	p.later(voteTimeout, once(failed))
	p.ask(request.To.Address, func(other *process) func() {
		if other.identity != request.To.ID {
			return once(func() {
				if p.lost(request.To.ID) && !p.play.options.Bugs.LostBlocks {
					answered(consensus.Response{DiskLost: true})
				} else {
					failed()
				}
			})
		}
		sticky := !other.group.IsPrimary() && !other.replaced() && p.play.Now-other.group.LastHeartbeat() < stickyFor
		if request.Kind == consensus.RequestPrepare && mode == prepareOnSilence && sticky {
			return once(failed)
		}
		other.later(p.play.diskDelay(), func() {
			promise := other.decide(request)
			p.later(p.play.Between(1, 4), once(func() { answered(promise) }))
		})
		return nil
	})
}

// decide has this process's witness act on a request.
func (p *process) decide(request consensus.Request) consensus.Response {
	given := false
	if request.Kind == consensus.RequestPrepare {
		given = p.witness.Prepare(request.Number)
	} else {
		given = p.witness.Accept(request.Number, request.Value)
	}
	if given {
		p.learn(p.witness.Value)
	}
	return consensus.Response{Granted: given, Promised: p.witness.Promised, Accepted: p.witness.Accepted, Value: p.witness.Value}
}
