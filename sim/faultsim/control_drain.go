package faultsim

import (
	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// exitWhenDrained ends a draining process once the others can do without it or time is up.
func (p *process) exitWhenDrained(limit int64, allowed func() bool, ended func()) {
	needed := p.sim.now() < limit && p.isNeeded()
	if needed || !allowed() {
		if p.group.IsPrimary() {
			p.transferLeadership()
		}
		p.afterIfRunning(superviseInterval, func() { p.exitWhenDrained(limit, allowed, ended) })
		return
	}
	p.crash()
	ended()
}

// isNeeded reports whether others can't do without this process yet.
func (p *process) isNeeded() bool {
	if !consensus.HasMember(p.known.Voters(), p.identity) || len(p.known.Members) < 2 {
		return false
	}
	if p.group.IsPrimary() || p.known.Primary == p.identity {
		return true
	}
	return len(p.known.Learners) > 0 || len(p.known.Previous) > 0 || membership.View(p.known).WouldUnderReplicate(p.identity)
}

// transferLeadership asks an in-sync member to take the lead.
func (p *process) transferLeadership() {
	for _, id := range p.known.InSync {
		member, named := p.known.Member(id)
		if id == p.identity || !named || p.sessions[id].draining {
			continue
		}
		p.ask(member.Address, func(other *process) func() {
			if !other.draining && other.known.IsInSync(other.identity) {
				other.takeOver(prepareOnTransfer)
			}
			record := other.known
			return func() { p.learn(record) }
		})
		return
	}
}
