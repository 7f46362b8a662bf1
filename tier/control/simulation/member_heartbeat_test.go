package simulation

import (
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
)

// handleHostHeartbeat handles, at the primary, a heartbeat that a backup can't acknowledge itself.
func (m *member) handleHostHeartbeat(host directory.Host, answer func(bool)) {
	if m.status().MayDecide(m.clock()) != nil {
		answer(false)
		return
	}
	removing := m.hosts.Renew(host.ID, m.id, m.clock())
	if registered, known := m.machine.Host(host.ID); known && registered == host && !removing {
		answer(m.status().MayDecide(m.clock()) == nil)
		return
	}
	m.submit(state.PutHost{Host: host, Seq: uint64(m.s.now)}, func(_ state.Result, err error) {
		if err == nil {
			m.hosts.Readmit(host.ID)
		}
		answer(err == nil)
	})
}

// receiveHeartbeat handles a heartbeat that a host sent to this member.
func (m *member) receiveHeartbeat(host directory.Host, answer func(bool)) {
	registered, known := m.machine.Host(host.ID)
	if known && registered == host && m.mayServe() {
		if !m.group.IsPrimary() {
			m.unreported[host.ID] = m.clock()
			answer(true)
			return
		}
		if removing := m.hosts.Renew(host.ID, m.id, m.clock()); !removing {
			answer(true)
			return
		}
	}
	if m.status().MayForward(m.clock()) != nil {
		m.rejectedHeartbeats++
		answer(false)
		return
	}
	if m.group.IsReady() {
		m.handleHostHeartbeat(host, answer)
		return
	}
	callPrimary(m, func(p *member, reply func(bool)) { p.handleHostHeartbeat(host, reply) }, func(ok, reached bool) { answer(ok && reached) })
}

// report reports the hosts whose heartbeats this member acknowledged to the primary.
func (m *member) report() {
	unreported := m.unreported
	m.unreported = map[string]int64{}
	if len(unreported) == 0 {
		return
	}
	sentAt, probe := m.clock(), m.group.LastProbe()
	renew := func(p *member, reportTime int64) bool {
		for id, at := range unreported {
			if _, listed := p.machine.Host(id); listed {
				p.hosts.Renew(id, m.id, reportTime-(sentAt-at))
			}
		}
		return p.status().MayDecide(p.clock()) == nil
	}
	if m.group.IsReady() {
		renew(m, sentAt)
		return
	}
	callPrimary(m, func(p *member, answer func(bool)) {
		probeSentAt, ownProbe := p.group.ProbeSentAt(probe, p.clock())
		answer(ownProbe && renew(p, probeSentAt))
	}, func(accepted, reached bool) {
		if accepted && reached {
			return
		}
		for id, at := range unreported {
			m.unreported[id] = max(m.unreported[id], at)
		}
	})
}

// sendHeartbeat renews this member's session with the primary.
func (m *member) sendHeartbeat() {
	if m.group.IsReady() {
		return
	}
	rejectedHeartbeats, probe := m.rejectedHeartbeats, m.group.LastProbe()
	callPrimary(m, func(p *member, answer func(consensus.Record)) {
		if probeSentAt, ownProbe := p.group.ProbeSentAt(probe, p.clock()); ownProbe {
			p.hosts.RenewHolder(m.id, rejectedHeartbeats, probeSentAt, p.clock())
		}
		answer(p.known)
	}, func(record consensus.Record, ok bool) {
		if ok {
			m.learn(record)
		}
	})
}
