package control

import (
	"context"
	"time"

	"otterseam/tier/authority"
	"otterseam/tier/groups"
	"otterseam/tier/periodic"
	"otterseam/tier/register"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

const checkEvery = authority.CheckEvery * time.Millisecond

// standing is what this process can prove of itself. All answers of control are given by it.
func (s *Server) standing() authority.Standing {
	if !register.HasMember(s.elector.Known().Members, s.self.ID) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return authority.Standing{Role: authority.Outsider, ConfirmedSince: s.reachedSince}
	}
	standing := authority.Standing{Role: authority.Backup}
	s.host.With(controlGroup, func(g *replica.Group) {
		if g.IsPrimary() {
			standing.Role = authority.Primary
			standing.Ready = g.IsReady()
		}
		standing.ConfirmedSince = g.ConfirmedSince(groups.Now())
	})
	return standing
}

// mayServe tells whether this process may serve its copy of the state now.
func (s *Server) mayServe() bool { return s.standing().MayServe(groups.Now()) }

// noteReached notes that the primary in force answered a question of this process.
func (s *Server) noteReached(since int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachedSince = max(s.reachedSince, since)
}

// watchStanding ends the subscriptions once this process may not serve its copy any longer.
func (s *Server) watchStanding(ctx context.Context) {
	periodic.Run(ctx, checkEvery, func() {
		if s.mayServe() {
			s.timeline.Reach(timeline.MajorityContacted)
		} else {
			s.publisher.Expire()
		}
	})
}
