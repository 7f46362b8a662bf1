package control

import (
	"context"
	"slices"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// announceEvery is how often the primary tells seeds that are no members where the group is, in milliseconds.
const announceEvery = 1000

// controlGone is the silence in milliseconds after which a control process may be taken out of the members with none in its place.
const controlGone = 6000

// leadsControl tells whether this process is the primary of control, also while it waits for a copy and can commit nothing.
func (s *Server) leadsControl() bool {
	leads := false
	s.host.WithGroup(controlGroup, func(g *replica.Group) { leads = g.IsPrimary() })
	return leads
}

// leadsWithLease tells whether this process is the primary of control and a majority has answered it lately.
func (s *Server) leadsWithLease() bool {
	standing := s.standing()
	return standing.Role == lease.Primary && standing.HasLease(multigroup.Now())
}

// leadsWithoutVotes tells whether this process is the primary of control while the disk of a voter is provably lost: it may have no
// majority until another has that vote, and looks for one that can have it.
func (s *Server) leadsWithoutVotes() bool {
	if !s.leadsControl() {
		return false
	}
	for _, voter := range s.elector.Known().Voters() {
		if s.lost(voter.ID) {
			return true
		}
	}
	return false
}

// adjustReplicas keeps control's own replicas in order while this process leads. It runs beside the other work of the primary,
// which may wait for a replica that has to be dropped or taken in first.
func (s *Server) adjustReplicas(ctx context.Context) {
	ledSince := int64(0)
	announcedAt := int64(0)
	periodic.Run(ctx, superviseEvery, func() {
		if !s.leadsWithLease() && !s.leadsWithoutVotes() {
			ledSince = 0
			return
		}
		if ledSince == 0 {
			ledSince = multigroup.Now()
		}
		if now := multigroup.Now(); now-announcedAt > announceEvery {
			announcedAt = now
			go s.announce(ctx)
		}
		s.followRecord(ctx)
		s.adjustInSync(ctx)
		s.adjustMembers(ctx, ledSince)
	})
}

// announce tells the seeds that are no members where the group is: a process that comes up on an empty disk may know them alone.
func (s *Server) announce(ctx context.Context) {
	known := s.elector.Known()
	members := map[string]bool{}
	for _, member := range known.Replicas() {
		members[member.Address] = true
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, seed := range s.seeds.Addresses() {
		if !members[seed] {
			_, _ = s.clients.To(seed).Call(call, controlclient.KindLocate, encodeRecord(known))
		}
	}
}

// followRecord has the primary's replica follow a record that this process proposed and of which it did not hear that it was
// decided: the replica would go on without the members that the record names. The record is decided anew under the next epoch.
func (s *Server) followRecord(ctx context.Context) {
	known := s.elector.Known()
	epoch := uint64(0)
	s.host.WithGroup(controlGroup, func(g *replica.Group) { epoch = g.View().Epoch })
	if known.Primary == s.self.ID && known.Epoch > epoch {
		_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) { return record, true })
	}
}

// adjustInSync drops silent members of control and takes in those that have caught up.
func (s *Server) adjustInSync(ctx context.Context) {
	var silent, caughtUp []uint64
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
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
				if s.lost(id) || len(next.InSync) > s.elector.policy.InSyncFloor(record) {
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
	planned, wanted := s.elector.policy.Next(known, observed)
	if !wanted && len(known.Previous) == 0 {
		return
	}
	if planned.Admit != 0 && !s.admit(planned.Admit) {
		return
	}
	_ = s.elector.Adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
		step, wanted := s.elector.policy.Next(record, observed)
		if !wanted {
			return record, len(record.Previous) > 0
		}
		return step.Record, step.Admit == planned.Admit
	})
}

// admit has commands wait for a replica that still holds the state.
func (s *Server) admit(id uint64) bool {
	admitted := false
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
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
		DiskLost: s.lost,
		Silent:   func(id uint64) bool { return s.sessions.ControlSilentFor(id, ledSince) > lease.ControlTimeout },
		Departed: func(id uint64) bool { return s.sessions.ControlSilentFor(id, ledSince) > controlGone },
		Draining: s.sessions.IsControlDraining,
	}
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
		for _, id := range g.CaughtUp(multigroup.Now()) {
			o.HasState[id] = true
		}
	})
	return o
}

// noteAnswered notes who answered at an address, and since when its answer counts.
func (s *Server) noteAnswered(there consensus.Member, since int64) {
	known := s.elector.Known()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteNamed(known)
	s.seen.ObserveAnswer(there, since)
}

// noteNamed notes the members that a record names; the lock is held.
func (s *Server) noteNamed(record consensus.Record) {
	for _, member := range append(record.Voters(), record.Learners...) {
		s.seen.ObserveListed(member, multigroup.Now())
	}
}

// lost tells whether a control process's disk is provably lost.
func (s *Server) lost(id uint64) bool {
	if id == s.self.ID {
		return false
	}
	known := s.elector.Known()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteNamed(known)
	if member, named := known.Member(id); named && member.Address == s.self.Address && member.Node == s.self.Node {
		return true // this process is the one that came up on the empty disk
	}
	return s.seen.DiskLost(id)
}

// answerControlBeat keeps a control process's session. A primary does so also while it can commit nothing: the copy that it waits
// for may come with this very beat.
func (s *Server) answerControlBeat(message rpc.Message) {
	beat, err := controlclient.DecodeMemberHeartbeat(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	s.noteAnswered(beat.Member, multigroup.Now())
	if !s.leadsWithLease() && !s.leadsWithoutVotes() {
		message.Answer(codes.NotPrimary, []byte(s.primaryAddress()))
		return
	}
	s.sessions.RenewControl(beat.Member, beat.Leaving)
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
		if asked, own := g.ProbeSentAt(beat.Echoed, multigroup.Now()); own {
			s.sessions.RenewHolder(beat.Member.ID, beat.RejectedHeartbeats, asked)
		}
	})
	var e codec.Encoder
	consensus.EncodeRecord(&e, s.elector.Known())
	e.Int64(s.standing().Age(multigroup.Now()))
	message.Answer(codes.OK, e.Bytes)
}

func encodeRecord(record consensus.Record) []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, record)
	return e.Bytes
}

// learnEncoded takes a record that another process sent.
func (s *Server) learnEncoded(data []byte) {
	d := codec.NewDecoder(data)
	record := consensus.DecodeRecord(d)
	if d.Err() == nil {
		s.elector.Learn(record)
	}
}
