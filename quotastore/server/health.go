package server

import (
	"encoding/json"
	"fmt"
)

// The states in a health report. Operators' checks depend on their values.
const (
	stateHealthy         = "whole"              // this server accepts calls for all groups
	stateNotBootstrapped = "not founded"        // the server does not belong to a cluster yet
	stateUnavailable     = "turning calls away" // some groups have no leader
)

// respondHealth responds with the health report, and with status 200 if this server accepts calls for all groups, else 503. It
// runs in the event loop.
func (c *counterConn) respondHealth(r *counterResponse) {
	state, report := c.listener.server.health()
	body, err := json.Marshal(report)
	if err != nil {
		c.respond(r, statusFailed, err.Error(), false)
		return
	}
	status := statusOK
	if state != stateHealthy {
		status = statusUnavailable
	}
	c.respond(r, status, string(body), false)
}

// health returns the server's state and its health report. Operators' checks depend on the keys of the report.
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
