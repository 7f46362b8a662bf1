package control

import (
	"context"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/membership"
	"otterseam/tier/register"
	"otterseam/tier/rpc"
)

// KindTakeOver asks a backup to become primary, since the primary is about to stop. The answer comes when it has become primary,
// or tells that it has not.
const KindTakeOver rpc.Kind = 30

const (
	handOverPause = 50 * time.Millisecond
	// stopMargin is how long before the platform would kill it the process ends by itself.
	stopMargin = 1500 * time.Millisecond
	// shortestStop bounds the wait from below, where the platform gives no time worth speaking of.
	shortestStop = 500 * time.Millisecond
)

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Stop returns when this process may end: another one leads, and what this one acknowledged is held by as many others as an
// acknowledgement needs, or time is up.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, max(shortestStop, s.settings.Bounds.Grace-stopMargin))
	defer cancel()
	for limit.Err() == nil && s.needed() {
		if s.leadsControl() {
			s.handOver(limit)
		}
		select {
		case <-limit.Done():
		case <-time.After(handOverPause):
		}
	}
}

// needed tells whether others can't do without this process yet.
func (s *Server) needed() bool {
	known := s.elector.Known()
	if !register.HasMember(known.Members, s.self.ID) || len(known.Members) < 2 {
		return false
	}
	if s.leadsControl() || known.Primary == s.self.ID {
		return true
	}
	// a spare takes this member's vote while it is still there, so that no majority is missed
	return len(known.Learners) > 0 || membership.View(known).LeavesTooFew(s.self.ID)
}

// handOver asks the in-sync members one after the other to take the lead, until one has it.
func (s *Server) handOver(ctx context.Context) bool {
	known := s.elector.Known()
	for _, id := range known.InSync {
		member, found := known.Member(id)
		if id == s.self.ID || !found || s.sessions.ControlLeaving(id) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		answer, err := s.clients.To(member.Address).Call(call, KindTakeOver, nil)
		cancel()
		if err == nil {
			s.learnEncoded(answer)
			return true
		}
	}
	return false
}

// stepAside gives the lead to a member whose disk works, and takes none over as long as the own disk is in trouble.
func (s *Server) stepAside(ctx context.Context) {
	if !s.leadsControl() {
		return
	}
	s.log.WithField("code", uint16(codes.DiskStalled)).Warn("the disk does not do its work: the lead goes to another member")
	s.handOver(ctx)
}

// answerTakeOver becomes primary if it can, and answers with the record that says so. A process that is itself about to stop
// refuses.
func (s *Server) answerTakeOver(message rpc.Message) {
	if s.isLeaving() || s.host.DiskTroubled() {
		message.Answer(codes.Unavailable, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	s.takeOver(ctx, prepareOnTransfer, s.elector.Known().Epoch)
	known := s.elector.Known()
	if known.Primary != s.self.ID {
		message.Answer(codes.Unavailable, nil)
		return
	}
	message.Answer(codes.OK, encodeRecord(known))
}
