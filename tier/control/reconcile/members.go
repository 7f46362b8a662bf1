package reconcile

import (
	"context"
	"slices"
	"sync"
	"time"

	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
)

const (
	// membersInterval is the interval at which the primary checks members and replicas.
	membersInterval = 50 * time.Millisecond
	// announceInterval is the interval at which the primary announces the group to the seeds that are not members, in milliseconds.
	announceInterval = 1000
	// departedTimeout is the silence in milliseconds after which a control process may be removed from the members without a
	// replacement. It is above lease.ControlTimeout, after which it may be replaced.
	departedTimeout = 6000
)

// Members reconciles control's own members and replicas while this process is the primary. Run must be called from one goroutine, which
// owns the unexported fields.
type Members struct {
	Node     *multigroup.Node
	Elector  *election.Elector
	Status   *election.LeaseStatus
	Sessions *session.Sessions
	Policy   membership.Policy
	// Now returns the time of the process's monotonic clock in milliseconds.
	Now func() int64

	ledSince    int64 // when this process became primary; 0 while another process is the primary
	announcedAt int64
}

// Run reconciles members and replicas until the context is cancelled. It runs concurrently with the Reconciler, whose proposals may wait
// for a replica that Run has to drop or admit first.
func (m *Members) Run(ctx context.Context) {
	var announcements sync.WaitGroup
	defer announcements.Wait()
	periodic.Run(ctx, membersInterval, func() {
		if !m.Status.MayAdjust() {
			m.ledSince = 0
			return
		}
		if m.ledSince == 0 {
			m.ledSince = m.Now()
		}
		if now := m.Now(); now-m.announcedAt > announceInterval {
			m.announcedAt = now
			announcements.Go(func() { m.Elector.Announce(ctx) })
		}
		m.followRecord(ctx)
		m.adjustInSync(ctx)
		m.adjustMembers(ctx)
	})
}

// adjust changes the record. A change that is not decided is planned again in the next pass.
func (m *Members) adjust(ctx context.Context, change func(consensus.Record) (consensus.Record, bool)) {
	_ = m.Elector.Adjust(ctx, change)
}

// followRecord proposes the known record again, under the next epoch, if this process proposed it but got no definite result. Otherwise
// the primary's replica would continue without the members that the record names.
func (m *Members) followRecord(ctx context.Context) {
	known := m.Elector.Known()
	epoch := uint64(0)
	m.Node.WithGroup(state.Group, func(g *replica.Group) { epoch = g.View().Epoch })
	if known.Primary == m.Node.Identity && known.Epoch > epoch {
		m.adjust(ctx, func(record consensus.Record) (consensus.Record, bool) { return record, true })
	}
}

// adjustInSync drops silent replicas from the in-sync set of control and admits those that have caught up.
func (m *Members) adjustInSync(ctx context.Context) {
	var silent, caughtUp []uint64
	m.Node.WithGroup(state.Group, func(g *replica.Group) {
		silent = g.Unresponsive(m.Now())
		for _, id := range g.CaughtUp(m.Now()) {
			if !slices.Contains(g.View().Learners, id) {
				g.Admit(id)
				caughtUp = append(caughtUp, id)
			}
		}
	})
	switch {
	case len(caughtUp) > 0:
		// a replica that caught up is admitted first, because without it the set may be too small to drop a silent one
		m.admitInSync(ctx, caughtUp)
	case len(silent) > 0:
		m.dropInSync(ctx, silent)
	}
}

func (m *Members) admitInSync(ctx context.Context, caughtUp []uint64) {
	m.adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
		next := record
		for _, id := range caughtUp {
			if consensus.HasMember(record.Members, id) {
				next.InSync = append(consensus.Without(next.InSync, id), id)
			}
		}
		return next, len(next.InSync) > len(record.InSync)
	})
}

func (m *Members) dropInSync(ctx context.Context, silent []uint64) {
	m.adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
		next := record
		for _, id := range silent {
			if m.Elector.DiskLost(id) || len(next.InSync) > m.Policy.InSyncFloor(record) {
				next.InSync = consensus.Without(next.InSync, id)
			}
		}
		return next, true
	})
}

// adjustMembers makes one step of a membership change. The step is computed from the record that the proposal reads, because the record
// known to this process need not have been decided.
func (m *Members) adjustMembers(ctx context.Context) {
	known := m.Elector.Known()
	observed := m.observe(m.ledSince)
	planned, wanted := m.Policy.Next(known, observed)
	if !wanted && len(known.Previous) == 0 {
		return
	}
	if planned.Admit != 0 && !m.admit(planned.Admit) {
		return
	}
	m.adjust(ctx, func(record consensus.Record) (consensus.Record, bool) {
		step, wanted := m.Policy.Next(record, observed)
		if !wanted {
			return record, len(record.Previous) > 0
		}
		return step.Record, step.Admit == planned.Admit
	})
}

// admit makes commits wait for a replica if it is still caught up. It reports whether it is.
func (m *Members) admit(id uint64) bool {
	admitted := false
	m.Node.WithGroup(state.Group, func(g *replica.Group) {
		if slices.Contains(g.CaughtUp(m.Now()), id) {
			g.Admit(id)
			admitted = true
		}
	})
	return admitted
}

// observe returns the observed states of the control processes. Silence before ledSince does not count.
func (m *Members) observe(ledSince int64) membership.Observation {
	observation := membership.Observation{
		Alive:    m.Sessions.LiveControls(),
		HasState: map[uint64]bool{},
		DiskLost: m.Elector.DiskLost,
		Silent:   func(id uint64) bool { return m.Sessions.ControlSilentFor(id, ledSince) > lease.ControlTimeout },
		Departed: func(id uint64) bool { return m.Sessions.ControlSilentFor(id, ledSince) > departedTimeout },
		Draining: m.Sessions.IsControlDraining,
	}
	m.Node.WithGroup(state.Group, func(g *replica.Group) {
		for _, id := range g.CaughtUp(m.Now()) {
			observation.HasState[id] = true
		}
	})
	return observation
}
