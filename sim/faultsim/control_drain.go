package faultsim

import (
	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// exitWhenDrained ends a draining process once allowed reports true and the group no longer needs the process or the deadline has
// passed. A primary tries to transfer its leadership until then.
func (p *process) exitWhenDrained(deadline int64, allowed func() bool, onExit func()) {
	needed := p.sim.now() < deadline && p.isNeeded()
	if needed || !allowed() {
		if p.group.IsPrimary() {
			p.transferLeadership()
		}
		p.afterIfRunning(superviseInterval, func() { p.exitWhenDrained(deadline, allowed, onExit) })
		return
	}
	p.crash()
	onExit()
}

// isNeeded reports whether the group still needs this process.
func (p *process) isNeeded() bool {
	if !consensus.HasMember(p.known.Voters(), p.identity) || len(p.known.Members) < 2 {
		return false
	}
	if p.group.IsPrimary() || p.known.Primary == p.identity {
		return true
	}
	return len(p.known.Learners) > 0 || len(p.known.Previous) > 0 || membership.View(p.known).WouldUnderReplicate(p.identity)
}

// transferLeadership asks the first other in-sync member that isn't draining to take over.
func (p *process) transferLeadership() {
	for _, id := range p.known.InSync {
		member, found := p.known.Member(id)
		if id == p.identity || !found || p.sessions[id].draining {
			continue
		}
		p.call(member.Address, func(other *process) func() {
			if !other.draining && other.known.IsInSync(other.identity) {
				other.takeOver(prepareOnTransfer)
			}
			record := other.known
			return func() { p.learn(record) }
		})
		return
	}
}
