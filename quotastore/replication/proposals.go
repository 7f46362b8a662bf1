package replication

import (
	"slices"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// proposalTimeout is the time after which a proposal that is not committed is dropped, in seconds.
const proposalTimeout = 10.0

// noRequester is the server number of a requester if no server waits for a response.
const noRequester = -1

// requester identifies the server and the request that wait for the response to a command.
type requester struct {
	server    int // number of the server, or noRequester
	requestID uint64
}

// proposal is a batch that was proposed and is not committed yet.
type proposal struct {
	proposedAt float64
	requesters []requester // by command
}

// proposalKey identifies a proposal of this replica. The term is part of the key because a later process on the same disk starts the
// sequence numbers again.
type proposalKey struct{ term, sequence uint64 }

// proposals holds the commands that a leader has received and not yet answered.
type proposals struct {
	queue      []statemachine.Command // for the next batch
	requesters []requester            // by command in the queue
	sequence   uint64                 // of the last batch
	inFlight   map[proposalKey]*proposal
	lastAt     float64 // time of the last proposal
}

func (p *proposals) clearQueue() {
	p.queue = p.queue[:0]
	p.requesters = p.requesters[:0]
}

// enqueue adds a command to the next batch. It returns false if this replica does not lead.
func (r *replica) enqueue(c statemachine.Command, from requester) bool {
	if !r.leadership.leads {
		return false
	}
	r.proposals.queue = append(r.proposals.queue, c)
	r.proposals.requesters = append(r.proposals.requesters, from)
	return true
}

// rejectQueued rejects the commands in the queue, which were not proposed. The outcome of proposed commands is not known here, so they
// get no response.
func (r *replica) rejectQueued() {
	for _, q := range r.proposals.requesters {
		r.node.respond(q.server, protocol.Response{Group: r.group, RequestID: q.requestID, NotLeader: true, Leader: r.leadership.number()})
	}
	r.proposals.clearQueue()
}

// propose proposes the queue as one batch.
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
	if mutation.LeaderAcksBeforeCommit { // responds before the entry is committed
		for i, reply := range r.state.Apply(&statemachine.Batch{Clock: batch.Clock, Commands: slices.Clone(p.queue)}) {
			r.respond(p.requesters[i], reply)
		}
		delete(p.inFlight, key)
	}
	p.clearQueue()
}

// answer sends the replies of an applied batch to its requesters, if this replica proposed the batch.
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

// dropExpired deletes proposals that were not committed within proposalTimeout.
func (p *proposals) dropExpired(now float64) {
	for key, old := range p.inFlight {
		if now-old.proposedAt > proposalTimeout {
			delete(p.inFlight, key)
		}
	}
}
