package faultsim

import "otterseam/tier/consensus"

// voteTimeout is how long a proposer waits for the response of an acceptor, in milliseconds.
const voteTimeout = 350

// vote sends a request to an acceptor, which responds once its new state is durable. A process with another identity at the
// acceptor's address doesn't vote, but its identity may prove that the acceptor's disk is lost.
func (p *process) vote(request consensus.Request, mode prepareMode, onResponse func(consensus.Response), onFailure func()) {
	done := false
	once := func(act func()) func() {
		return func() {
			if !done {
				done = true
				act()
			}
		}
	}
	p.afterIfRunning(voteTimeout, once(onFailure))
	p.call(request.To.Address, func(other *process) func() {
		if other.identity != request.To.ID {
			return once(func() {
				if p.diskLost(request.To.ID) && !p.sim.options.Bugs.IgnoreDiskLoss {
					onResponse(consensus.Response{DiskLost: true})
				} else {
					onFailure()
				}
			})
		}
		sticky := !other.group.IsPrimary() && !other.superseded() && p.sim.now()-other.group.LastHeartbeat() < stickyLeaderTimeout
		if request.Kind == consensus.RequestPrepare && mode == prepareOnSilence && sticky {
			return once(onFailure)
		}
		other.afterIfRunning(p.sim.diskDelay(), func() {
			response := other.handleRequest(request)
			p.afterIfRunning(p.sim.draw(messageDelays), once(func() { onResponse(response) }))
		})
		return nil
	})
}

// handleRequest passes a request to this process's acceptor and returns the response.
func (p *process) handleRequest(request consensus.Request) consensus.Response {
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
