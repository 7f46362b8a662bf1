package simulation

import (
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
)

// handleHostHeartbeat is the primary's part in a heartbeat that is not kept by a backup.
func (m *member) handleHostHeartbeat(host directory.Host, answer func(bool)) {
	if m.standing().MayDecide(m.clock()) != nil {
		answer(false)
		return
	}
	removing := m.hosts.Renew(host.ID, m.id, m.clock())
	if held, known := m.machine.Host(host.ID); known && held == host && !removing {
		answer(m.standing().MayDecide(m.clock()) == nil)
		return
	}
	m.submit(state.PutHost{Host: host, Seq: uint64(m.s.now)}, func(_ state.Result, err error) {
		if err == nil {
			m.hosts.Readmit(host.ID)
		}
		answer(err == nil)
	})
}

// heartbeat takes a host's heartbeat.
func (m *member) heartbeat(host directory.Host, answer func(bool)) {
	held, known := m.machine.Host(host.ID)
	if known && held == host && m.mayServe() {
		if !m.group.IsPrimary() {
			m.heard[host.ID] = m.clock()
			answer(true)
			return
		}
		if removing := m.hosts.Renew(host.ID, m.id, m.clock()); !removing {
			answer(true)
			return
		}
	}
	if m.standing().MayForward(m.clock()) != nil {
		m.refusals++
		answer(false)
		return
	}
	if m.group.IsReady() {
		m.handleHostHeartbeat(host, answer)
		return
	}
	onPrimary(m, func(p *member, reply func(bool)) { p.handleHostHeartbeat(host, reply) }, func(ok, reached bool) { answer(ok && reached) })
}

// report tells the primary which hosts were heard.
func (m *member) report() {
	heard := m.heard
	m.heard = map[string]int64{}
	if len(heard) == 0 {
		return
	}
	sent, question := m.clock(), m.group.LastProbe()
	keep := func(p *member, written int64) bool {
		for id, at := range heard {
			if _, listed := p.machine.Host(id); listed {
				p.hosts.Renew(id, m.id, written-(sent-at))
			}
		}
		return p.standing().MayDecide(p.clock()) == nil
	}
	if m.group.IsReady() {
		keep(m, sent)
		return
	}
	onPrimary(m, func(p *member, answer func(bool)) {
		asked, own := p.group.ProbeSentAt(question, p.clock())
		answer(own && keep(p, asked))
	}, func(told, reached bool) {
		if told && reached {
			return
		}
		for id, at := range heard {
			m.heard[id] = max(m.heard[id], at)
		}
	})
}

// sendHeartbeat keeps the session with the primary.
func (m *member) sendHeartbeat() {
	if m.group.IsReady() {
		return
	}
	refusals, question := m.refusals, m.group.LastProbe()
	onPrimary(m, func(p *member, answer func(consensus.Record)) {
		if asked, own := p.group.ProbeSentAt(question, p.clock()); own {
			p.hosts.RenewHolder(m.id, refusals, asked, p.clock())
		}
		answer(p.known)
	}, func(record consensus.Record, ok bool) {
		if ok {
			m.learn(record)
		}
	})
}
