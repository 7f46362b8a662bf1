package quotastoresim

import (
	"slices"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// fullyReplicated reports whether all groups have all their replicas and all replicas know so, so that another machine may be lost.
func (s *simulation) fullyReplicated() bool {
	for group := range s.config.Groups {
		if !s.groupFullyReplicated(group) {
			return false
		}
	}
	return true
}

// groupFullyReplicated asks the leader of a group. If two servers hold themselves for it the last one counts.
func (s *simulation) groupFullyReplicated(group int) bool {
	full := false
	for _, x := range s.servers {
		if !x.up || x.frozen {
			continue
		}
		if h := x.node.Health()[group]; h.IsLeader {
			full = s.leaderHasAll(&h)
		}
	}
	return full
}

func (s *simulation) leaderHasAll(h *protocol.GroupHealth) bool {
	if len(h.Replicas) < min(s.options.Replicas, s.options.Servers) || !h.Stable || !h.AllInSync {
		return false
	}
	for _, id := range h.Replicas {
		x := s.servers[id.Number()]
		if id.Incarnation() != x.incarnation || !x.up {
			return false
		}
		// A replica that has not heard yet that a change is over would want votes of those that left.
		own := x.node.Health()[h.Group]
		if !own.Stable || !slices.Equal(own.Replicas, h.Replicas) {
			return false
		}
	}
	return true
}

// judge judges what is held at the end.
func (s *simulation) judge() {
	for group := range s.config.Groups {
		s.judgeGroup(group)
	}
	if !s.fullyReplicated() {
		s.verdict.notRecovered("not all copies are made again at the end")
	}
	s.workload.judge(func(key string) *statemachine.State {
		group := replication.GroupOf(key, s.config.Groups)
		if lead := s.leader(group); lead != nil {
			return lead.node.GroupState(group)
		}
		return nil
	})
}

// judgeGroup wants a leader, and the same bytes at all replicas that have come as far.
func (s *simulation) judgeGroup(group int) {
	lead := s.leader(group)
	if lead == nil {
		s.verdict.notRecovered("group %d has no leader at the end", group)
		return
	}
	want := string(lead.node.GroupState(group).Snapshot())
	for _, id := range lead.node.Health()[group].Replicas {
		x := s.servers[id.Number()]
		if !x.up || x.incarnation != id.Incarnation() {
			continue
		}
		state := x.node.GroupState(group)
		if state == nil || x.node.AppliedIndex(group) != lead.node.AppliedIndex(group) {
			continue
		}
		if string(state.Snapshot()) != want {
			s.verdict.lost("group %d: keeper %d holds other bytes than the leader, keeper %d", group, x.number, lead.number)
		}
	}
}
