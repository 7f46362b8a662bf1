package faultsim

import "otterseam/tier/consensus"

// voteTimeout is how long a proposer waits for an acceptor, in milliseconds.
const voteTimeout = 350

// vote has an acceptor act on a request and answer once that is durable. Another identity at the address gives no vote; it may be the
// proof that the acceptor's disk is lost.
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
	p.afterIfRunning(voteTimeout, once(failed))
	p.ask(request.To.Address, func(other *process) func() {
		if other.identity != request.To.ID {
			return once(func() {
				if p.diskLost(request.To.ID) && !p.sim.options.Bugs.IgnoreDiskLoss {
					answered(consensus.Response{DiskLost: true})
				} else {
					failed()
				}
			})
		}
		sticky := !other.group.IsPrimary() && !other.superseded() && p.sim.now()-other.group.LastHeartbeat() < stickyLeaderTimeout
		if request.Kind == consensus.RequestPrepare && mode == prepareOnSilence && sticky {
			return once(failed)
		}
		other.afterIfRunning(p.sim.diskDelay(), func() {
			response := other.decide(request)
			p.afterIfRunning(p.sim.draw(messageDelays), once(func() { answered(response) }))
		})
		return nil
	})
}

// decide has this process's acceptor act on a request.
func (p *process) decide(request consensus.Request) consensus.Response {
	granted := false
	if request.Kind == consensus.RequestPrepare {
		granted = p.acceptor.Prepare(request.Number)
	} else {
		granted = p.acceptor.Accept(request.Number, request.Value)
	}
	if granted {
		p.learn(p.acceptor.Value)
	}
	return consensus.Response{Granted: granted, Promised: p.acceptor.Promised, Accepted: p.acceptor.Accepted, Value: p.acceptor.Value}
}
