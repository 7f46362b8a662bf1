package control

import (
	"context"
	"slices"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// announceInterval is how often the primary tells seeds that are no members where the group is, in milliseconds.
const announceInterval = 1000

// controlGone is the silence in milliseconds after which a control process may be taken out of the members with none in its place.
const controlGone = 6000

// adjustReplicas keeps control's own replicas in order while this process leads. It runs beside the other work of the primary,
// which may wait for a replica that has to be dropped or taken in first.
func (s *Server) adjustReplicas(ctx context.Context) {
	ledSince := int64(0)
	announcedAt := int64(0)
	periodic.Run(ctx, superviseEvery, func() {
		if !s.status.MayAdjust() {
			ledSince = 0
			return
		}
		if ledSince == 0 {
			ledSince = multigroup.Now()
		}
		if now := multigroup.Now(); now-announcedAt > announceInterval {
			announcedAt = now
			go s.elector.Announce(ctx)
		}
		s.followRecord(ctx)
		s.adjustInSync(ctx)
		s.adjustMembers(ctx, ledSince)
	})
}

// followRecord has the primary's replica follow a record that this process proposed and of which it did not hear that it was
// decided: the replica would go on without the members that the record names. The record is decided anew under the next epoch.
func (s *Server) followRecord(ctx context.Context) {
	known := s.elector.Known()
	epoch := uint64(0)
	s.host.WithGroup(state.Group, func(g *replica.Group) { epoch = g.View().Epoch })
	if known.Primary == s.self.ID && known.Epoch > epoch {
		_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) { return record, true })
	}
}

// adjustInSync drops silent members of control and takes in those that have caught up.
func (s *Server) adjustInSync(ctx context.Context) {
	var silent, caughtUp []uint64
	s.host.WithGroup(state.Group, func(g *replica.Group) {
		silent = g.Unresponsive(multigroup.Now())
		for _, id := range g.CaughtUp(multigroup.Now()) {
			if !slices.Contains(g.View().Learners, id) {
				g.Admit(id)
				caughtUp = append(caughtUp, id)
			}
		}
	})
	// one that caught up comes first: the set may be too small to let a silent one go without it
	if len(caughtUp) > 0 {
		_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
			next := record
			for _, id := range caughtUp {
				if consensus.HasMember(record.Members, id) {
					next.InSync = append(consensus.Without(next.InSync, id), id)
				}
			}
			return next, len(next.InSync) > len(record.InSync)
		})
		return
	}
	if len(silent) > 0 {
		_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
			next := record
			for _, id := range silent {
				if s.elector.DiskLost(id) || len(next.InSync) > s.elector.Policy.InSyncFloor(record) {
					next.InSync = consensus.Without(next.InSync, id)
				}
			}
			return next, true
		})
	}
}

// adjustMembers takes one step of the members. The step is built on the record that the proposal reads: the one known here need not
// have been decided.
func (s *Server) adjustMembers(ctx context.Context, ledSince int64) {
	known := s.elector.Known()
	observed := s.observe(ledSince)
	planned, wanted := s.elector.Policy.Next(known, observed)
	if !wanted && len(known.Previous) == 0 {
		return
	}
	if planned.Admit != 0 && !s.admit(planned.Admit) {
		return
	}
	_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
		step, wanted := s.elector.Policy.Next(record, observed)
		if !wanted {
			return record, len(record.Previous) > 0
		}
		return step.Record, step.Admit == planned.Admit
	})
}

// admit has commands wait for a replica that still holds the state.
func (s *Server) admit(id uint64) bool {
	admitted := false
	s.host.WithGroup(state.Group, func(g *replica.Group) {
		if slices.Contains(g.CaughtUp(multigroup.Now()), id) {
			g.Admit(id)
			admitted = true
		}
	})
	return admitted
}

// observe gathers what is known of the control processes.
func (s *Server) observe(ledSince int64) membership.Observation {
	o := membership.Observation{
		Alive:    s.sessions.LiveControls(),
		HasState: map[uint64]bool{},
		DiskLost: s.elector.DiskLost,
		Silent:   func(id uint64) bool { return s.sessions.ControlSilentFor(id, ledSince) > lease.ControlTimeout },
		Departed: func(id uint64) bool { return s.sessions.ControlSilentFor(id, ledSince) > controlGone },
		Draining: s.sessions.IsControlDraining,
	}
	s.host.WithGroup(state.Group, func(g *replica.Group) {
		for _, id := range g.CaughtUp(multigroup.Now()) {
			o.HasState[id] = true
		}
	})
	return o
}

// answerControlBeat keeps a control process's session. A primary does so also while it can commit nothing: the copy that it waits
// for may come with this very beat.
func (s *Server) answerControlBeat(message rpc.Message) {
	beat, err := controlclient.DecodeMemberHeartbeat(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	s.elector.ObserveAnswer(beat.Member, multigroup.Now())
	if !s.status.MayAdjust() {
		message.Answer(codes.NotPrimary, []byte(s.status.PrimaryAddress()))
		return
	}
	s.sessions.RenewControl(beat.Member, beat.Leaving)
	s.host.WithGroup(state.Group, func(g *replica.Group) {
		if asked, own := g.ProbeSentAt(beat.Echoed, multigroup.Now()); own {
			s.sessions.RenewHolder(beat.Member.ID, beat.RejectedHeartbeats, asked)
		}
	})
	var e codec.Encoder
	consensus.EncodeRecord(&e, s.elector.Known())
	e.Int64(s.status.Status().Age(multigroup.Now()))
	message.Answer(codes.OK, e.Bytes)
}
