package replication

// This file owns what others may look at: for the health answer, the log, and the laboratory's judges. It changes nothing.

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Health tells of all groups, by number.
func (c *Node) Health() []protocol.GroupHealth {
	all := make([]protocol.GroupHealth, c.terms.Groups)
	for i := range all {
		h := protocol.GroupHealth{Group: i, Leader: c.asks[i].lead, Unavailable: c.cluster == 0 || c.asks[i].away(c.now)}
		if g := c.group[i]; g != nil && g.applied > 0 {
			h.HasReplica, h.IsLeader, h.Counters, h.AppliedIndex = true, g.leads, g.state.CounterCount(), g.applied
			for _, id := range g.conf.Voters {
				h.Replicas = append(h.Replicas, protocol.ReplicaID(id))
			}
			h.Stable = len(g.conf.VotersOutgoing)+len(g.conf.Learners)+len(g.conf.LearnersNext) == 0
			if g.leads {
				h.AllInSync = true
				for id, p := range g.node.Status().Progress {
					if id != uint64(c.id) && (c.now-c.heard[protocol.ReplicaID(id).Number()] > 1 || p.Match+64 < g.applied) {
						h.AllInSync = false
					}
				}
			}
		}
		all[i] = h
	}
	return all
}

// State is a copy's state, to be looked at only; nil: it isn't held here.
func (c *Node) GroupState(group int) *statemachine.State {
	if g := c.group[group]; g != nil {
		return g.state
	}
	return nil
}

// Index is how far a copy's state has come.
func (c *Node) AppliedIndex(group int) uint64 {
	if g := c.group[group]; g != nil {
		return g.applied
	}
	return 0
}
