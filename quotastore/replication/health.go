package replication

// This file owns what others may look at: for the health answer, the log, and the laboratory's judges. It changes nothing.

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Health tells of all groups, by number.
func (c *Node) Health() []protocol.Health {
	all := make([]protocol.Health, c.terms.Groups)
	for i := range all {
		h := protocol.Health{Group: i, Leader: c.asks[i].lead, Away: c.cluster == 0 || c.asks[i].away(c.now)}
		if g := c.group[i]; g != nil && g.applied > 0 {
			h.Held, h.Leads, h.Names, h.Index = true, g.leads, g.state.CounterCount(), g.applied
			for _, id := range g.conf.Voters {
				h.Holders = append(h.Holders, protocol.ID(id))
			}
			h.Settled = len(g.conf.VotersOutgoing)+len(g.conf.Learners)+len(g.conf.LearnersNext) == 0
			if g.leads {
				h.Alive = true
				for id, p := range g.node.Status().Progress {
					if id != uint64(c.id) && (c.now-c.heard[protocol.ID(id).Number()] > 1 || p.Match+64 < g.applied) {
						h.Alive = false
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
