package replication

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Ready holds the writes that must be durable before the Node continues.
type Ready struct {
	Writes   []Write
	replicas []*replica // replicas whose cycle is pending
}

// Ready returns the pending writes; nil: none, and all messages are in the outbox.
func (n *Node) Ready() *Ready {
	ready := &Ready{Writes: n.dropped}
	n.dropped = nil
	for r := range n.localReplicas {
		r.propose(n.now)
		r.collect(ready)
	}
	if len(ready.Writes)+len(ready.replicas) == 0 {
		return nil
	}
	return ready
}

// Advance continues after all writes of a Ready are durable, or in a process that has no durable storage.
func (n *Node) Advance(ready *Ready) {
	for _, r := range ready.replicas {
		r.advance()
	}
}

// readyCycle is one round of the Raft library's Ready and Advance.
type readyCycle struct {
	ready        raft.Ready
	pending      bool // ready is being written
	messagesSent bool // the messages were sent before the write
}

// hardState is a replica's term, vote and commit index. A change of the commit index alone needs no write of its own, because the
// leader sends the index again. It is written together with the next write that is required.
type hardState struct {
	current, written *pb.HardState // nil: none yet
	changed          bool          // whether current changed since the last write
}

// update sets the current hard state unless next is empty, and reports whether the term or the vote differ from those last written.
func (h *hardState) update(next *pb.HardState) (voteChanged bool) {
	if !raft.IsEmptyHardState(next) {
		h.current = next
		h.changed = true
	}
	return h.current.GetTerm() != h.written.GetTerm() || h.current.GetVote() != h.written.GetVote()
}

// takeChanged returns the hard state to write, and marks it as written; nil: nothing has changed.
func (h *hardState) takeChanged() *pb.HardState {
	if !h.changed {
		return nil
	}
	h.written = h.current
	h.changed = false
	return h.current
}

// collect adds the writes of this replica.
func (r *replica) collect(ready *Ready) {
	if !r.cycle.pending && r.raft.HasReady() {
		r.beginCycle(ready)
	}
	if r.snapshots.unwritten != nil {
		ready.Writes = append(ready.Writes, *r.snapshots.unwritten)
		r.snapshots.unwritten = nil
	}
}

// beginCycle processes a Ready of the Raft library. A leader sends its messages at once, since they need not wait for its own
// write unless its term or vote changes.
func (r *replica) beginCycle(ready *Ready) {
	r.cycle = readyCycle{ready: r.raft.Ready(), pending: true}
	ready.replicas = append(ready.replicas, r)
	rd := &r.cycle.ready
	w := Write{Group: r.group, Entries: rd.Entries}
	hasSnapshot := !raft.IsEmptySnap(rd.Snapshot)
	voteChanged := r.hardState.update(rd.HardState)
	if voteChanged || len(w.Entries) > 0 || hasSnapshot {
		w.HardState = r.hardState.takeChanged()
	}
	if hasSnapshot {
		w.Snapshot = rd.Snapshot
		w.ReplaceLog = true
		r.snapshots.unwritten = nil // an older snapshot of this replica must not be written after the received one
	}
	if r.leadership.leads && !voteChanged || mutation.ReplicaSendsBeforeSync {
		r.cycle.messagesSent = true
		r.send(rd.Messages)
	}
	if w.HardState != nil || w.Snapshot != nil || len(w.Entries) > 0 {
		ready.Writes = append(ready.Writes, w)
	}
}

// advance ends the cycle after its writes are durable.
func (r *replica) advance() {
	rd := r.cycle.ready
	if !raft.IsEmptySnap(rd.Snapshot) {
		r.install(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		r.must(r.log.SetHardState(rd.HardState))
	}
	r.must(r.log.Append(rd.Entries)) // the library ensures that the entries follow the log without a gap
	if !r.cycle.messagesSent {
		r.send(rd.Messages)
	}
	for _, e := range rd.CommittedEntries {
		r.apply(e)
	}
	r.cycle = readyCycle{}
	r.raft.Advance(rd)
	r.updateLeadership()
	r.compact()
}

// must stops the server on an error after which the replica can't continue.
func (r *replica) must(err error) {
	if err != nil {
		r.node.fail(&GroupError{Group: r.group, Err: err})
	}
}

func (r *replica) send(messages []*pb.Message) {
	for _, m := range messages {
		bulk := m.GetType() == pb.MsgSnap
		if bulk {
			r.beginTransfer(m)
		}
		encoded, err := proto.Marshal(m)
		if err != nil {
			r.node.fail(err)
			return
		}
		to := protocol.ReplicaID(m.GetTo()).Number()
		r.node.send(to, &protocol.Frame{Kind: protocol.KindRaft, Group: r.group, Raft: encoded}, bulk)
	}
}

// apply applies a committed entry.
func (r *replica) apply(e *pb.Entry) {
	if e.GetIndex() <= r.applied {
		return
	}
	r.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChangeV2:
		r.applyMembership(e)
	case pb.EntryNormal:
		if len(e.Data) > 0 { // a leader starts its term with an empty entry
			r.applyBatch(e)
		}
	default: // EntryConfChange, the older form of membership changes, is never proposed
	}
}

func (r *replica) applyBatch(e *pb.Entry) {
	batch, err := statemachine.DecodeBatch(e.Data)
	if err != nil {
		r.node.fail(err)
		return
	}
	own := batch.Proposer == uint64(r.node.id)
	if mutation.LeaderAcksBeforeCommit && own {
		return
	}
	replies := r.state.Apply(batch)
	if own {
		r.answer(proposalKey{e.GetTerm(), batch.Sequence}, replies)
	}
}
