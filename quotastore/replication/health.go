package replication

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// inSyncSilence is the maximum time since a server was last known to be alive, in seconds, at which its replicas count as in sync.
const inSyncSilence = 1.0

// Health returns the state of all groups as known to this server, by group.
func (n *Node) Health() []protocol.GroupHealth {
	all := make([]protocol.GroupHealth, n.config.Groups)
	for group := range all {
		c := n.clients[group]
		h := &all[group]
		h.Group = group
		h.Leader = c.leader
		h.Unavailable = n.cluster == 0 || c.unavailable(n.now)
		if r := n.replicas[group]; r != nil && r.applied > 0 {
			r.fillHealth(h)
		}
	}
	return all
}

// fillHealth sets the fields that depend on the replica.
func (r *replica) fillHealth(h *protocol.GroupHealth) {
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

// allInSync reports whether the servers of all other replicas are alive and the replicas are nearly caught up. This replica must be
// the leader.
func (r *replica) allInSync() bool {
	for id, progress := range r.raft.Status().Progress {
		if id == uint64(r.node.id) {
			continue
		}
		silence := r.node.now - r.node.status[protocol.ReplicaID(id).Number()].aliveAt
		if silence > inSyncSilence || progress.Match+maxCatchUpLag < r.applied {
			return false
		}
	}
	return true
}

// GroupState returns the state of a group's replica on this server, which the caller must not change; nil: there is no replica.
func (n *Node) GroupState(group int) *statemachine.State {
	if r := n.replicas[group]; r != nil {
		return r.state
	}
	return nil
}

// AppliedIndex returns the index of the last log entry applied by a group's replica on this server; 0: there is no replica.
func (n *Node) AppliedIndex(group int) uint64 {
	if r := n.replicas[group]; r != nil {
		return r.applied
	}
	return 0
}
