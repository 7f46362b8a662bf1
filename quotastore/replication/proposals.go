package replication

import (
	"slices"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// proposalTimeout is how long a proposal whose entry is not committed is remembered, in seconds.
const proposalTimeout = 10.0

// nobody is in place of the number of a server that waits for a response.
const nobody = -1

// requester is who waits for the response to a command.
type requester struct {
	server    int // its number, or nobody
	requestID uint64
}

// proposal is a batch that was proposed and is not committed yet.
type proposal struct {
	proposedAt float64
	requesters []requester // by command
}

// proposalKey names a proposal of this replica. The term is part of it, as a sequence number comes again in a later process on the same
// disk.
type proposalKey struct{ term, sequence uint64 }

// proposals are the commands that a leader was asked for.
type proposals struct {
	queue      []statemachine.Command // for the next batch
	requesters []requester            // by command of the queue
	sequence   uint64                 // of the last batch
	inFlight   map[proposalKey]*proposal
	lastAt     float64 // when a batch was last proposed
}

func (p *proposals) clearQueue() {
	p.queue = p.queue[:0]
	p.requesters = p.requesters[:0]
}

// enqueue takes a command for the next batch, and reports false if this replica does not lead.
func (r *replica) enqueue(c statemachine.Command, from requester) bool {
	if !r.leadership.leads {
		return false
	}
	r.proposals.queue = append(r.proposals.queue, c)
	r.proposals.requesters = append(r.proposals.requesters, from)
	return true
}

// rejectQueued says of what was not proposed that it was not. Of what was proposed nothing is known here.
func (r *replica) rejectQueued() {
	for _, q := range r.proposals.requesters {
		r.node.respond(q.server, protocol.Response{Group: r.group, RequestID: q.requestID, NotLeader: true, Leader: r.leadership.number()})
	}
	r.proposals.clearQueue()
}

// propose puts the queue into the log as one batch.
func (r *replica) propose(now float64) {
	p := &r.proposals
	if len(p.queue) == 0 || !r.leadership.leads || !r.isCurrent() {
		return
	}
	p.sequence++
	batch := statemachine.Batch{Clock: r.clock.next(now, r.state.Clock), Commands: p.queue, Proposer: uint64(r.node.id), Sequence: p.sequence}
	if mutation.LeaderUsesLocalClock {
		batch.Clock = now
	}
	if r.raft.Propose(batch.Encode()) != nil {
		r.rejectQueued()
		return
	}
	p.lastAt = now
	key := proposalKey{r.leadership.term, p.sequence}
	p.inFlight[key] = &proposal{proposedAt: now, requesters: slices.Clone(p.requesters)}
	if mutation.LeaderAcksBeforeCommit { // answered before the others have it
		for i, reply := range r.state.Apply(&statemachine.Batch{Clock: batch.Clock, Commands: slices.Clone(p.queue)}) {
			r.respond(p.requesters[i], reply)
		}
		delete(p.inFlight, key)
	}
	p.clearQueue()
}

// answer responds to the requesters of a batch of this replica that was applied.
func (r *replica) answer(key proposalKey, replies []statemachine.Reply) {
	p := r.proposals.inFlight[key]
	if p == nil {
		return
	}
	delete(r.proposals.inFlight, key)
	for i, q := range p.requesters {
		r.respond(q, replies[i])
	}
}

func (r *replica) respond(to requester, reply statemachine.Reply) {
	r.node.respond(to.server, protocol.Response{Group: r.group, RequestID: to.requestID, Leader: r.leadership.number(), Reply: reply})
}

// forgetOld forgets proposals that will not be committed as they are.
func (p *proposals) forgetOld(now float64) {
	for key, old := range p.inFlight {
		if now-old.proposedAt > proposalTimeout {
			delete(p.inFlight, key)
		}
	}
}
