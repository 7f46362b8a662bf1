package store

import (
	"context"
	"time"

	"otterseam/tier/directory"
	"otterseam/tier/periodic"
	"otterseam/tier/placement"
	"otterseam/tier/replica"
)

const (
	// drainMargin is how long before the platform would kill it the process ends by itself.
	drainMargin = 1200 * time.Millisecond
	// minDrainTime bounds the wait from below, where the platform gives no time worth speaking of.
	minDrainTime = 500 * time.Millisecond
)

// Drain has control give the shards led here to others, and returns when shards can do without this process or time is up.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, max(minDrainTime, s.settings.Bounds.Grace-drainMargin))
	defer cancel()
	periodic.While(limit, watchInterval, s.isNeeded)
}

// isNeeded tells whether shards can't do without this process yet: by the map as far as it is known here, or because a replica here
// still leads.
func (s *Server) isNeeded() bool {
	shards := directory.Shards(s.view)
	if placement.IsNeeded(shards, s.self.Identity) {
		return true
	}
	for id := range shards {
		leads := false
		s.node.WithGroup(id, func(g *replica.Group) { leads = g.IsPrimary() })
		if leads {
			return true
		}
	}
	return false
}
