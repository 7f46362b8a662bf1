package replication

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// inSyncSilence is for how many seconds a server may not be known to be alive and have its replicas count as in sync.
const inSyncSilence = 1.0

// Health returns how all groups stand as seen here, by number.
func (n *Node) Health() []protocol.GroupHealth {
	all := make([]protocol.GroupHealth, n.config.Groups)
	for group := range all {
		c := n.clients[group]
		h := &all[group]
		h.Group = group
		h.Leader = c.leader
		h.Unavailable = n.cluster == 0 || c.unavailable(n.now)
		if r := n.replicas[group]; r != nil && r.applied > 0 {
			r.describe(h)
		}
	}
	return all
}

// describe fills in what a replica knows.
func (r *replica) describe(h *protocol.GroupHealth) {
	h.HasReplica = true
	h.IsLeader = r.leadership.leads
	h.Counters = r.state.CounterCount()
	h.AppliedIndex = r.applied
	for _, id := range r.members.Voters {
		h.Replicas = append(h.Replicas, protocol.ReplicaID(id))
	}
	h.Stable = len(r.members.VotersOutgoing)+len(r.members.Learners)+len(r.members.LearnersNext) == 0
	h.AllInSync = r.leadership.leads && r.allInSync()
}

// allInSync reports whether all other replicas answer their leader, which is this one, and follow it closely.
func (r *replica) allInSync() bool {
	for id, progress := range r.raft.Status().Progress {
		if id == uint64(r.node.id) {
			continue
		}
		silence := r.node.now - r.node.status[protocol.ReplicaID(id).Number()].aliveAt
		if silence > inSyncSilence || progress.Match+closeBehind < r.applied {
			return false
		}
	}
	return true
}

// GroupState returns the state of a replica here, to be read only; nil: there is none.
func (n *Node) GroupState(group int) *statemachine.State {
	if r := n.replicas[group]; r != nil {
		return r.state
	}
	return nil
}

// AppliedIndex returns how far a replica's state has come in its log; 0: there is none here.
func (n *Node) AppliedIndex(group int) uint64 {
	if r := n.replicas[group]; r != nil {
		return r.applied
	}
	return 0
}
