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
	// handOverPause is how long a process that drains waits between two looks at whether it is still needed.
	handOverPause = 50 * time.Millisecond
	// stopMargin is how long before the platform would kill it the process ends by itself. It is above the second that package api
	// waits for requests in flight and backgroundTimeout together.
	stopMargin = 1500 * time.Millisecond
	// shortestStop bounds the wait from below, where the platform gives no time worth speaking of.
	shortestStop = 500 * time.Millisecond
	// backgroundTimeout bounds the wait for the work in the background, which may hang on a disk.
	backgroundTimeout = 400 * time.Millisecond
)

// drain returns when this process may end: another one leads, and what this one acknowledged is held by as many others as an
// acknowledgement needs, or time is up.
func (s *Server) drain(ctx context.Context) {
	s.draining.Store(true)
	limit, cancel := context.WithTimeout(ctx, max(shortestStop, s.settings.Bounds.Grace-stopMargin))
	defer cancel()
	periodic.While(limit, handOverPause, func() bool {
		if !s.needed() {
			return false
		}
		if s.status.Leads() {
			s.failover.HandOver(limit, s.sessions.IsControlDraining)
		}
		return true
	})
}

// awaitBackground waits for the work in the background, whose context has ended. What hangs on a disk ends with the process.
func (s *Server) awaitBackground(work *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(backgroundTimeout):
		s.log.Warn("work in the background did not end in time")
	}
}

// needed tells whether others can't do without this process yet.
func (s *Server) needed() bool {
	known := s.elector.Known()
	if !consensus.HasMember(known.Voters(), s.self.ID) || len(known.Members) < 2 {
		return false
	}
	if s.status.Leads() || known.Primary == s.self.ID {
		return true
	}
	// a spare takes this member's vote while it is still there, so that no majority is missed; so does a change under way end
	return len(known.Learners) > 0 || len(known.Previous) > 0 || membership.View(known).WouldUnderReplicate(s.self.ID)
}
