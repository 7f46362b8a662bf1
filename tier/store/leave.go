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
	// leaveMargin is how long before the platform would kill it the process ends by itself.
	leaveMargin = 1200 * time.Millisecond
	// shortestLeave bounds the wait from below, where the platform gives no time worth speaking of.
	shortestLeave = 500 * time.Millisecond
)

// Leave has control give the shards led here to others, and returns when shards can do without this process or time is up.
func (s *Server) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, max(shortestLeave, s.settings.Bounds.Grace-leaveMargin))
	defer cancel()
	periodic.While(limit, watchEvery, s.needed)
}

// needed tells whether shards can't do without this process yet: by the map as far as it is known here, or because a replica here
// still leads.
func (s *Server) needed() bool {
	shards := directory.Shards(s.view)
	if placement.IsNeeded(shards, s.self.Identity) {
		return true
	}
	for id := range shards {
		leads := false
		s.host.WithGroup(id, func(g *replica.Group) { leads = g.IsPrimary() })
		if leads {
			return true
		}
	}
	return false
}
