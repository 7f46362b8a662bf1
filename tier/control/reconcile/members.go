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
	// membersInterval is how often the primary looks at members and replicas.
	membersInterval = 50 * time.Millisecond
	// announceInterval is how often the primary tells seeds that are no members where the group is, in milliseconds.
	announceInterval = 1000
	// departedAfter is the silence in milliseconds after which a control process may be taken out of the members with none in its
	// place. It is above lease.ControlTimeout, after which another may take its place.
	departedAfter = 6000
)

// Members keeps control's own members and replicas in order while this process leads. Run is of one goroutine and owns the fields that
// are not exported.
type Members struct {
	Node     *multigroup.Node
	Elector  *election.Elector
	Status   *election.LeaseStatus
	Sessions *session.Sessions
	Policy   membership.Policy
	// Now is the process's steady clock in milliseconds.
	Now func() int64

	ledSince    int64 // 0 while another process leads
	announcedAt int64
}

// Run looks at members and replicas until the context ends. It runs beside the Reconciler, whose work may wait for a replica that has
// to be dropped or taken in first.
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

// adjust changes the record. A change that is not decided is planned anew at the next look.
func (m *Members) adjust(ctx context.Context, change func(consensus.Record) (consensus.Record, bool)) {
	_ = m.Elector.Adjust(ctx, change)
}

// followRecord has the primary's replica follow a record that this process proposed and of which it did not hear that it was
// decided: the replica would go on without the members that the record names. The record is decided anew under the next epoch.
func (m *Members) followRecord(ctx context.Context) {
	known := m.Elector.Known()
	epoch := uint64(0)
	m.Node.WithGroup(state.Group, func(g *replica.Group) { epoch = g.View().Epoch })
	if known.Primary == m.Node.Identity && known.Epoch > epoch {
		m.adjust(ctx, func(record consensus.Record) (consensus.Record, bool) { return record, true })
	}
}

// adjustInSync drops silent members of control and takes in those that have caught up.
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
		// one that caught up comes first: the set may be too small to let a silent one go without it
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

// adjustMembers takes one step of the members. The step is built on the record that the proposal reads: the one known here need not
// have been decided.
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

// admit has commands wait for a replica that still holds the state.
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

// observe gathers what is known of the control processes; silence counts from a time at the earliest.
func (m *Members) observe(ledSince int64) membership.Observation {
	o := membership.Observation{
		Alive:    m.Sessions.LiveControls(),
		HasState: map[uint64]bool{},
		DiskLost: m.Elector.DiskLost,
		Silent:   func(id uint64) bool { return m.Sessions.ControlSilentFor(id, ledSince) > lease.ControlTimeout },
		Departed: func(id uint64) bool { return m.Sessions.ControlSilentFor(id, ledSince) > departedAfter },
		Draining: m.Sessions.IsControlDraining,
	}
	m.Node.WithGroup(state.Group, func(g *replica.Group) {
		for _, id := range g.CaughtUp(m.Now()) {
			o.HasState[id] = true
		}
	})
	return o
}
