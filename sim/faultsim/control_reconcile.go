package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// reconcile does the primary's periodic work on the replicas. It makes one change at a time.
func (p *process) reconcile() {
	if p.proposing {
		return
	}
	known := p.known
	if known.Primary == p.identity && known.Epoch > p.group.View().Epoch && !p.sim.options.Bugs.IgnoreOwnChange {
		// a change of this process was decided without the process learning so; deciding the same record under the next epoch lets its
		// replica follow
		p.change(func(record consensus.Record) (consensus.Record, bool) { return record, true })
		return
	}
	caughtUp := p.caughtUp()
	admitted := p.admit(caughtUp)
	p.handleOutput()
	if p.group == nil || !p.group.IsPrimary() {
		return
	}
	unresponsive := p.group.Unresponsive(p.sim.now())
	switch {
	case len(admitted) > 0:
		p.addToInSync(admitted)
	case len(unresponsive) > 0:
		p.removeFromInSync(unresponsive)
	default:
		p.reconcileMembers(known, caughtUp)
	}
}

// admit makes the replica's commits wait for the replicas that have caught up, except learners, and returns their identities.
func (p *process) admit(caughtUp []uint64) []uint64 {
	var admitted []uint64
	for _, id := range caughtUp {
		if !slices.Contains(p.group.View().Learners, id) {
			p.group.Admit(id)
			admitted = append(admitted, id)
		}
	}
	return admitted
}

func (p *process) addToInSync(admitted []uint64) {
	p.change(func(record consensus.Record) (consensus.Record, bool) {
		next := record
		for _, id := range admitted {
			if consensus.HasMember(record.Members, id) {
				next.InSync = append(consensus.Without(next.InSync, id), id)
			}
		}
		return next, len(next.InSync) > len(record.InSync)
	})
}

func (p *process) removeFromInSync(unresponsive []uint64) {
	p.change(func(record consensus.Record) (consensus.Record, bool) {
		next := record
		for _, id := range unresponsive {
			if p.diskLost(id) || len(next.InSync) > p.sim.policy.InSyncFloor(record) {
				next.InSync = consensus.Without(next.InSync, id)
			}
		}
		return next, true
	})
}

// reconcileMembers takes the next step towards the members that the policy requires.
func (p *process) reconcileMembers(known consensus.Record, caughtUp []uint64) {
	observed := p.observe(caughtUp)
	planned, wanted := p.sim.policy.Next(known, observed)
	if !wanted && len(known.Previous) == 0 {
		return
	}
	if planned.Admit != 0 {
		p.group.Admit(planned.Admit)
		p.handleOutput()
	}
	p.change(func(record consensus.Record) (consensus.Record, bool) {
		step, wanted := p.sim.policy.Next(record, observed)
		if !wanted {
			return record, len(record.Previous) > 0
		}
		if p.sim.options.Bugs.NewMembersInSync {
			step.Record = newMembersInSync(record, step.Record)
		}
		return step.Record, step.Admit == planned.Admit
	})
}

func (p *process) caughtUp() []uint64 {
	if !p.sim.options.Bugs.AdmitLagging {
		return p.group.CaughtUp(p.sim.now())
	}
	var ids []uint64
	for _, id := range p.group.View().Replicas {
		if !p.group.View().IsInSync(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// observe returns the primary's observations of the members.
func (p *process) observe(caughtUp []uint64) membership.Observation {
	hasState := map[uint64]bool{}
	for _, id := range caughtUp {
		hasState[id] = true
	}
	silent := func(limit int64) func(uint64) bool {
		return func(id uint64) bool { return p.sim.now()-max(p.leaderSince, p.sessions[id].lastHeartbeat) > limit }
	}
	observed := membership.Observation{
		HasState: hasState, DiskLost: p.diskLost, Silent: silent(controlSessionTimeout), Departed: silent(controlDepartedTimeout),
		Draining: func(id uint64) bool { return p.sessions[id].draining },
	}
	for _, n := range p.sim.nodes {
		if session, found := p.sessions[n.identity]; found && p.sim.now()-session.lastHeartbeat <= controlSessionTimeout {
			observed.Alive = append(observed.Alive, session.member)
		}
	}
	return observed
}

// change proposes a change of the record, which applies only while this process is the primary.
func (p *process) change(change func(consensus.Record) (consensus.Record, bool)) {
	p.propose(prepareBySelf, p.known, func(current consensus.Record) (consensus.Record, bool) {
		if current.Primary != p.identity {
			return current, false
		}
		next, wanted := change(current)
		if !wanted {
			return current, false
		}
		next = p.sim.policy.WithMinInSync(next)
		next.Epoch = current.Epoch + 1
		return p.withBugs(next), true
	})
}
