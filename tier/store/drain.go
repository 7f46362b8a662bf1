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
	// drainMargin is the time left after the wait in Drain until the end of the grace period, when the platform kills the process.
	drainMargin = 1200 * time.Millisecond
	// minDrainTime is the minimum limit of the wait in Drain. It applies if the grace period is very short.
	minDrainTime = 500 * time.Millisecond
)

// Drain reports to control that this process is leaving, so that control assigns its shards to other stores. It returns when no
// shard needs this process any more, or after the grace period less drainMargin.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, max(minDrainTime, s.settings.Bounds.Grace-drainMargin))
	defer cancel()
	periodic.While(limit, watchInterval, s.isNeeded)
}

// isNeeded reports whether a shard still needs this process: by the known shard map, or because a replica here is still primary.
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
