package control

import (
	"context"
	"time"

	"otterseam/tier/consensus"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

const checkEvery = lease.CheckInterval * time.Millisecond

// standing is what this process can prove of itself. All answers of control are given by it.
func (s *Server) standing() lease.Status {
	if !consensus.HasMember(s.elector.Known().Members, s.self.ID) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return lease.Status{Role: lease.Outsider, ConfirmedSince: s.reachedSince}
	}
	standing := lease.Status{Role: lease.Backup}
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
		if g.IsPrimary() {
			standing.Role = lease.Primary
			standing.Ready = g.IsReady()
		}
		standing.ConfirmedSince = g.ConfirmedSince(multigroup.Now())
	})
	return standing
}

// mayServe tells whether this process may serve its copy of the state now.
func (s *Server) mayServe() bool { return s.standing().MayServe(multigroup.Now()) }

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
