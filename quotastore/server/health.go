package server

import (
	"encoding/json"
	"fmt"
)

// The states in an answer on health. Operators' checks read them.
const (
	stateHealthy         = "whole"              // all groups can be called here
	stateNotBootstrapped = "not founded"        // the server belongs to no cluster yet
	stateUnavailable     = "turning calls away" // some groups have no leader
)

// answerHealth answers with the state of the groups: 200 if all can be called here, else 503. It runs in the event loop.
func (c *counterConn) answerHealth(a *counterAnswer) {
	state, report := c.listener.server.health()
	body, err := json.Marshal(report)
	if err != nil {
		c.answer(a, statusFailed, err.Error(), false)
		return
	}
	status := statusOK
	if state != stateHealthy {
		status = statusUnavailable
	}
	c.answer(a, status, string(body), false)
}

// health returns the server's state, and what an answer on health says: its keys are read by operators' checks.
func (s *Server) health() (state string, report map[string]any) {
	unavailable, led, held := 0, 0, 0
	for _, group := range s.node.Health() {
		if group.Unavailable {
			unavailable++
		}
		if group.IsLeader {
			led++
		}
		if group.HasReplica {
			held++
		}
	}
	state = stateHealthy
	switch {
	case s.node.Cluster() == 0:
		state = stateNotBootstrapped
	case unavailable > 0:
		state = stateUnavailable
	}
	return state, map[string]any{
		"state":        state,
		"groups":       s.node.Groups(),
		"away":         unavailable,
		"led":          led,
		"held":         held,
		"installation": fmt.Sprintf("%016x", s.node.Cluster()),
		"life":         fmt.Sprintf("%08x", s.node.Incarnation()),
		"disk":         s.storage.persistent(),
		"put_back":     s.node.RecoveredUsages,
		"moved":        s.node.MembershipChanges,
	}
}
