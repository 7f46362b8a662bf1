package control

import (
	"context"
	"sync"
	"time"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
	"otterseam/tier/periodic"
)

const (
	// handOverPause is the pause of a draining process between two checks whether it is still needed.
	handOverPause = 50 * time.Millisecond
	// stopMargin is the part of the platform's grace period that is reserved for the steps after draining. It is greater than the sum
	// of backgroundTimeout and the second for which package api waits for requests in flight.
	stopMargin = 1500 * time.Millisecond
	// minDrainTimeout is the minimum timeout of draining, for platforms with a very short grace period or none.
	minDrainTimeout = 500 * time.Millisecond
	// backgroundTimeout is the maximum time to wait for background work, which may hang on a disk.
	backgroundTimeout = 400 * time.Millisecond
)

// drain returns when this process may stop: another one is the primary, and the writes that this one acknowledged are replicated to as
// many other processes as an acknowledgement requires, or the timeout has expired.
func (s *Server) drain(ctx context.Context) {
	s.draining.Store(true)
	drainCtx, cancel := context.WithTimeout(ctx, max(minDrainTimeout, s.settings.Bounds.Grace-stopMargin))
	defer cancel()
	periodic.While(drainCtx, handOverPause, func() bool {
		if !s.needed() {
			return false
		}
		if s.status.Leads() {
			s.failover.HandOver(drainCtx, s.sessions.IsControlDraining)
		}
		return true
	})
}

// awaitBackground waits for the background work, whose context is cancelled, and for the votes of the acceptor. Work that hangs on a disk
// ends when the process exits.
func (s *Server) awaitBackground(work *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		work.Wait()
		s.votes.stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(backgroundTimeout):
		s.log.Warn("background work did not stop in time")
	}
}

// needed reports whether the other processes still require this one.
func (s *Server) needed() bool {
	known := s.elector.Known()
	if !consensus.HasMember(known.Voters(), s.self.ID) || len(known.Members) < 2 {
		return false
	}
	if s.status.Leads() || known.Primary == s.self.ID {
		return true
	}
	// this process stays until a learner has taken over its vote and any membership change is complete, so that the group does not lose
	// its majority
	return len(known.Learners) > 0 || len(known.Previous) > 0 || membership.View(known).WouldUnderReplicate(s.self.ID)
}
