package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// superseded reports whether this process knows of a later primary than that of its replica's view.
func (p *process) superseded() bool {
	view := p.group.View()
	return p.known.Epoch > view.Epoch && p.known.Primary != view.Primary
}

// discoverOrBootstrap looks for a group, and bootstraps one if this process is a seed that may do so.
func (p *process) discoverOrBootstrap() {
	p.locate()
	if !p.bootstrap || !slices.Contains(p.sim.seeds, p.address) || p.proposing {
		return
	}
	input := membership.BootstrapInput{
		Self: p.self(), Seeds: p.sim.seeds, Candidates: p.bootstrapCandidates, WaitElapsed: p.sim.now()-p.startedAt > bootstrapWait,
	}
	members, allowed := input.Members()
	if !allowed {
		return
	}
	p.propose(prepareBySelf, consensus.Record{Members: members}, func(current consensus.Record) (consensus.Record, bool) {
		if current.IsBootstrapped() {
			return current, false
		}
		return p.withBugs(p.sim.policy.InitialRecord(p.identity, members)), true
	})
}

// mayLead reports whether this process may take over under the newest record that it knows.
func (p *process) mayLead() bool {
	if p.sim.options.Bugs.AnyMemberLeads && consensus.HasMember(p.known.Members, p.identity) {
		return true
	}
	return p.known.IsInSync(p.identity)
}

// watchPrimary takes over if the primary has been silent for too long.
func (p *process) watchPrimary() {
	if !p.mayLead() {
		if p.sim.oneIn(locateOdds) {
			p.locate()
		}
		return
	}
	lastHeartbeat := p.group.LastHeartbeat()
	if p.superseded() {
		lastHeartbeat = p.learnedAt // earlier heartbeats are those of the previous primary
	}
	silence := p.sim.now() - max(lastHeartbeat, p.startedAt)
	if p.known.Primary == p.identity {
		if p.hasLed && silence < suspectTimeout {
			return
		}
		p.takeOver(prepareBySelf)
		return
	}
	if silence > suspectTimeout+p.rank()*suspectRankStep+p.sim.between(0, suspectRankStep) {
		p.takeOver(prepareOnSilence)
	}
}

// rank returns the number of in-sync members that take precedence over this one in a takeover.
func (p *process) rank() int64 {
	rank := int64(0)
	for _, id := range p.known.InSync {
		if id == p.identity {
			break
		}
		if id != p.known.Primary {
			rank++
		}
	}
	return rank
}

// takeOver proposes a record with this process as primary, unless a proposal of the process is already in progress.
func (p *process) takeOver(mode prepareMode) {
	if p.proposing {
		return
	}
	suspected := p.known.Epoch
	p.locate()
	p.proposing = true
	p.afterIfRunning(p.sim.draw(takeOverDelays), func() {
		p.proposing = false
		if p.known.Epoch != suspected {
			return
		}
		p.propose(mode, p.known, func(current consensus.Record) (consensus.Record, bool) {
			// if the suspected epoch is above the current one, its record was proposed and never decided
			if current.Epoch > suspected || (!current.IsInSync(p.identity) && !p.sim.options.Bugs.AnyMemberLeads) {
				return current, false
			}
			next := p.sim.policy.Successor(current, p.identity, p.diskLost)
			if !next.IsInSync(p.identity) {
				next.InSync = append(next.InSync, p.identity)
			}
			return p.withBugs(next), true
		})
	})
}

// lead sets the replica's view from a record that this process proposed and that was decided.
func (p *process) lead(record consensus.Record) {
	p.hasLed = true
	p.observeRecord(record, true)
	p.group.SetView(membership.View(record), p.sim.now())
	p.handleOutput()
}
