package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
)

// KindTakeOver asks a backup to become primary, since the primary is about to stop. The answer comes when it has become primary,
// or tells that it has not.
const KindTakeOver rpc.Kind = 30

const (
	handOverPause = 50 * time.Millisecond
	// stepAsideEvery is how often a primary with a troubled disk asks others to lead, in milliseconds.
	stepAsideEvery = 1000
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
	periodic.While(limit, handOverPause, func() bool {
		if !s.needed() {
			return false
		}
		if s.leadsControl() {
			s.handOver(limit)
		}
		return true
	})
}

// needed tells whether others can't do without this process yet.
func (s *Server) needed() bool {
	known := s.elector.Known()
	if !consensus.HasMember(known.Voters(), s.self.ID) || len(known.Members) < 2 {
		return false
	}
	if s.leadsControl() || known.Primary == s.self.ID {
		return true
	}
	// a spare takes this member's vote while it is still there, so that no majority is missed; so does a change under way end
	return len(known.Learners) > 0 || len(known.Previous) > 0 || membership.View(known).WouldUnderReplicate(s.self.ID)
}

// handOver asks the in-sync members one after the other to take the lead, until one has it.
func (s *Server) handOver(ctx context.Context) bool {
	known := s.elector.Known()
	for _, id := range known.InSync {
		member, found := known.Member(id)
		if id == s.self.ID || !found || s.sessions.IsControlDraining(id) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		answer, err := s.clients.To(member.Address).Call(call, KindTakeOver, encodeTakeOver(known.Epoch))
		cancel()
		if err == nil {
			s.learnEncoded(answer)
			return true
		}
	}
	return false
}

// stepAside asks a member whose disk works to take the lead. Where none does, this process goes on leading: a slow disk everywhere
// must not leave the group without a primary.
func (s *Server) stepAside(ctx context.Context) {
	if !s.leadsControl() || multigroup.Now()-s.steppedAsideAt < stepAsideEvery {
		return
	}
	s.steppedAsideAt = multigroup.Now()
	taken := s.handOver(ctx)
	s.log.WithFields(logrus.Fields{"code": uint16(codes.DiskStalled), "taken": taken}).Warn("the disk does not do its work: another member is asked to lead")
}

// encodeTakeOver names the epoch that is handed over, so that a request which is read late replaces no later primary.
func encodeTakeOver(epoch uint64) []byte {
	var e codec.Encoder
	e.Uint64(epoch)
	return e.Bytes
}

func decodeTakeOver(payload []byte) (epoch uint64, err error) {
	d := codec.NewDecoder(payload)
	epoch = d.Uint64()
	return epoch, d.Err()
}

// answerTakeOver becomes primary if it can, and answers with the record that says so. A process that is itself about to stop
// refuses.
func (s *Server) answerTakeOver(message rpc.Message) {
	epoch, err := decodeTakeOver(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if s.isLeaving() || s.host.DiskDegraded() {
		message.Answer(codes.Unavailable, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	s.takeOver(ctx, prepareOnTransfer, epoch)
	known := s.elector.Known()
	if known.Primary != s.self.ID {
		message.Answer(codes.Unavailable, nil)
		return
	}
	message.Answer(codes.OK, encodeRecord(known))
}
