package replication

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Ready is what has to be written before a Node goes on.
type Ready struct {
	Writes   []Write
	replicas []*replica // whose cycle is pending
}

// Ready returns what has to be written now; nil: nothing, and all has been said.
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

// Advance says that all of a Ready is durable, or that there is no place where it could be.
func (n *Node) Advance(ready *Ready) {
	for _, r := range ready.replicas {
		r.advance()
	}
}

// readyCycle is one round of the Raft library's Ready and Advance.
type readyCycle struct {
	ready        raft.Ready
	pending      bool // ready is being written
	messagesSent bool // before it is written
}

// hardState is a replica's term, vote and commit index. How far the group has committed need not be durable by itself, as it is told
// again; so it is written along with what must be.
type hardState struct {
	current, written *pb.HardState // nil: none yet
	changed          bool          // since it was last written
}

// update takes a new hard state, if there is one, and reports whether term or vote differ from what was last written.
func (h *hardState) update(next *pb.HardState) (voteChanged bool) {
	if !raft.IsEmptyHardState(next) {
		h.current = next
		h.changed = true
	}
	return h.current.GetTerm() != h.written.GetTerm() || h.current.GetVote() != h.written.GetVote()
}

// takeChanged returns what is to be written, and takes it for written; nil: nothing has changed.
func (h *hardState) takeChanged() *pb.HardState {
	if !h.changed {
		return nil
	}
	h.written = h.current
	h.changed = false
	return h.current
}

// collect adds what this replica has to write.
func (r *replica) collect(ready *Ready) {
	if !r.cycle.pending && r.raft.HasReady() {
		r.beginCycle(ready)
	}
	if r.snapshots.unwritten != nil {
		ready.Writes = append(ready.Writes, *r.snapshots.unwritten)
		r.snapshots.unwritten = nil
	}
}

// beginCycle takes a Ready of the Raft library. A leader sends its messages at once: they need not wait for its own write.
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
		r.snapshots.unwritten = nil // written after it, an older one of its own would take its place
	}
	if r.leadership.leads && !voteChanged || mutation.ReplicaSendsBeforeSync {
		r.cycle.messagesSent = true
		r.send(rd.Messages)
	}
	if w.HardState != nil || w.Snapshot != nil || len(w.Entries) > 0 {
		ready.Writes = append(ready.Writes, w)
	}
}

// advance ends the cycle: what it gave is durable.
func (r *replica) advance() {
	rd := r.cycle.ready
	if !raft.IsEmptySnap(rd.Snapshot) {
		r.install(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		r.must(r.log.SetHardState(rd.HardState))
	}
	r.must(r.log.Append(rd.Entries)) // follows what is there: the library sees to that
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

// must ends the server on an error after which the replica can't go on.
func (r *replica) must(err error) {
	if err != nil {
		r.node.fail(&GroupError{Group: r.group, Err: err})
	}
}

func (r *replica) send(messages []*pb.Message) {
	for _, m := range messages {
		bulk := m.GetType() == pb.MsgSnap
		if bulk {
			r.transferBegins(m)
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
		if len(e.Data) > 0 { // a leader begins its term with an empty entry
			r.applyBatch(e)
		}
	default: // the first form of membership changes is never proposed
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
