package quotastoresim

import (
	"slices"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// fullyReplicated reports whether all groups have all their replicas and all replicas have learned so. Only then may another machine be
// lost.
func (s *simulation) fullyReplicated() bool {
	for group := range s.config.Groups {
		if !s.groupFullyReplicated(group) {
			return false
		}
	}
	return true
}

// groupFullyReplicated reports whether a group is fully replicated according to its leader. If several servers claim to be leader, the
// last one counts.
func (s *simulation) groupFullyReplicated(group int) bool {
	full := false
	for _, srv := range s.servers {
		if !srv.up || srv.frozen {
			continue
		}
		if h := srv.node.Health()[group]; h.IsLeader {
			full = s.allReplicasCurrent(&h)
		}
	}
	return full
}

// allReplicasCurrent reports whether all replicas in the health report of a leader run, are in sync and agree with the leader on the
// set of replicas.
func (s *simulation) allReplicasCurrent(h *protocol.GroupHealth) bool {
	if len(h.Replicas) < min(s.options.Replicas, s.options.Servers) || !h.Stable || !h.AllInSync {
		return false
	}
	for _, id := range h.Replicas {
		srv := s.servers[id.Number()]
		if id.Incarnation() != srv.incarnation || !srv.up {
			return false
		}
		// A replica that hasn't learned yet that a membership change is complete would require votes of removed members.
		own := srv.node.Health()[h.Group]
		if !own.Stable || !slices.Equal(own.Replicas, h.Replicas) {
			return false
		}
	}
	return true
}

// check checks the state of the groups and the results of the workload at the end of a run.
func (s *simulation) check() {
	for group := range s.config.Groups {
		s.checkGroup(group)
	}
	if !s.fullyReplicated() {
		s.verdict.addNotRecovered("not all groups are fully replicated at the end")
	}
	s.workload.check(func(key string) *statemachine.State {
		group := replication.GroupOf(key, s.config.Groups)
		if lead := s.leader(group); lead != nil {
			return lead.node.GroupState(group)
		}
		return nil
	})
}

// checkGroup checks that a group has a leader, and that all replicas with the applied index of the leader have the same state.
func (s *simulation) checkGroup(group int) {
	lead := s.leader(group)
	if lead == nil {
		s.verdict.addNotRecovered("group %d has no leader at the end", group)
		return
	}
	want := string(lead.node.GroupState(group).Snapshot())
	for _, id := range lead.node.Health()[group].Replicas {
		srv := s.servers[id.Number()]
		if !srv.up || srv.incarnation != id.Incarnation() {
			continue
		}
		state := srv.node.GroupState(group)
		if state == nil || srv.node.AppliedIndex(group) != lead.node.AppliedIndex(group) {
			continue
		}
		if string(state.Snapshot()) != want {
			s.verdict.addLost("group %d: the state of keeper %d differs from that of the leader, keeper %d", group, srv.number, lead.number)
		}
	}
}
