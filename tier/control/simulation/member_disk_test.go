package simulation

import (
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/replica"
)

// disk is the part of a member's replica that survives a restart.
type disk struct {
	base    replica.Snapshot
	entries []replica.Entry
}

func (d *disk) write(w replica.Write) {
	if w.Snapshot != nil {
		d.base = *w.Snapshot
		d.entries = nil
	}
	for _, entry := range w.Entries {
		if entry.Index > d.base.Index {
			offset := entry.Index - d.base.Index - 1
			d.entries = append(d.entries[:offset:offset], entry)
		}
	}
}

// open starts a member's process from its disk.
func (m *member) open() {
	m.machine = &machine{State: state.New()}
	m.rounds = consensus.NewRoundAllocator(m.roundLimit, func(roundLimit uint64) error {
		m.roundLimit = roundLimit
		return nil
	})
	options := replica.Options{EagerCommit: true, Incarnation: m.s.random.Uint64() | 1, StepDownAfter: lease.StepDownAfter}
	entries := append([]replica.Entry(nil), m.disk.entries...)
	group, err := replica.NewGroup(m.id, m.machine, m.disk.base, entries, options)
	if err != nil {
		m.s.t.Fatal(err)
	}
	m.group = group
}

// restart ends a member's process and starts it again. Writes that haven't reached the disk and answers to callers are lost.
func (m *member) restart() {
	m.incarnation++
	pending := m.pending
	m.pending = map[uint64]func(state.Result, error){}
	for _, index := range sortedKeys(pending) {
		pending[index](state.Result{}, codes.Timeout)
	}
	m.open()
	m.proposing = false
	m.backoff = lease.ElectionBackoff{}
	m.hasLed = false
	m.sessionsEpochStart = 0
	m.lastTick = 0
	m.known = m.acceptor.Value
	m.decided = false
	m.epochSeenAt = m.clock()
	m.startedAt = m.clock()
	m.hosts = lease.NewHostSessions()
	m.stores = lease.NewStoreSessions()
	m.unreported = map[string]int64{}
	m.healthySince = 0
	m.s.recordChange()
}
