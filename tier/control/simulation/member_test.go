package simulation

import (
	"sort"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/replica"
)

// member is a control process.
type member struct {
	s                  *sim
	process            process
	id                 uint64
	clockOffset        int64 // offset of its monotonic clock from the simulation's time
	frozen             bool
	backlog            []func()
	group              *replica.Group
	machine            *machine
	acceptor           consensus.Acceptor
	known              consensus.Record
	decided            bool // whether known was decided by a proposal of this member
	epochSeenAt        int64
	hasLed             bool
	rounds             *consensus.RoundAllocator
	roundLimit         uint64 // stored limit of the rounds that may have been used
	disk               disk
	syncedAt           int64 // when the last write issued so far reaches the disk
	incarnation        int   // number of restarts
	startedAt          int64 // start of its process or, if later, when the epoch of known was first seen
	healthySince       int64 // since when it has been running and connected with a majority; 0 if it isn't
	proposing          bool  // whether a proposal is in progress
	backoff            lease.ElectionBackoff
	hosts              *lease.HostSessions
	stores             *lease.StoreSessions
	sessionsEpochStart uint64
	lastTick           int64
	lastLocate         int64
	unreported         map[string]int64 // time of the last heartbeat by host, for hosts not yet reported to the primary
	rejectedHeartbeats uint64
	pending            map[uint64]func(state.Result, error)
	presumedPrimary    process // the process to call as the primary
}

func (m *member) clock() int64 { return m.s.now + m.clockOffset }

func (m *member) status() lease.Status {
	status := lease.Status{Role: lease.Backup, ConfirmedSince: m.group.ConfirmedSince(m.clock())}
	if m.group.IsPrimary() {
		status.Role = lease.Primary
		status.Ready = m.group.IsReady()
	}
	return status
}

func (m *member) mayServe() bool { return m.status().MayServe(m.clock()) }

func (m *member) processOutput() {
	output := m.group.TakeOutput()
	if output.SteppedDown {
		pending := m.pending
		m.pending = map[uint64]func(state.Result, error){}
		for _, index := range sortedKeys(pending) {
			pending[index](state.Result{}, codes.Timeout)
		}
	}
	for _, write := range output.Writes {
		incarnation := m.incarnation
		m.syncedAt = max(m.syncedAt, m.s.now+1+m.s.random.Int63n(3)) // writes reach the disk in order
		m.s.after(m.syncedAt-m.s.now, func() {
			m.s.run(m.process, func() {
				if incarnation == m.incarnation {
					m.completeWrite(write)
				}
			})
		})
	}
	for _, out := range output.Messages {
		to := process(out.To - 1)
		m.s.send(m.process, to, func() {
			peer := m.s.members[to]
			peer.group.Step(m.id, out.Message, peer.clock())
			peer.processOutput()
		})
	}
	for _, applied := range output.Applied {
		if waiter := m.pending[applied.Index]; waiter != nil {
			delete(m.pending, applied.Index)
			waiter(applied.Result.(state.Result), nil)
		}
	}
	m.group.Trim()
}

func sortedKeys(pending map[uint64]func(state.Result, error)) []uint64 {
	var keys []uint64
	for key := range pending {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (m *member) completeWrite(write replica.Write) {
	m.disk.write(write)
	if write.Snapshot != nil {
		m.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, m.clock())
	}
	if n := len(write.Entries); n > 0 {
		m.group.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, m.clock())
	}
	m.processOutput()
}

// submit proposes a command at this member. done is called with the result, or with an error if this member may not decide, loses the
// primary role or times out.
func (m *member) submit(command state.Command, done func(state.Result, error)) {
	if err := m.status().MayDecide(m.clock()); err != nil {
		done(state.Result{}, err)
		return
	}
	index := m.group.Propose(command.Encode(), m.clock())
	m.pending[index] = done
	m.s.after(proposal.Timeout.Milliseconds(), func() {
		m.s.run(m.process, func() {
			if m.pending[index] != nil {
				delete(m.pending, index)
				done(state.Result{}, codes.Timeout)
			}
		})
	})
	m.processOutput()
}

// learn updates the known record with one that need not have been decided.
func (m *member) learn(record consensus.Record) { m.observeRecord(record, false) }

func (m *member) observeRecord(record consensus.Record, decided bool) {
	if election.Supersedes(record, decided, m.known, m.decided) {
		if record.Epoch > m.known.Epoch {
			m.epochSeenAt = m.clock()
			m.startedAt = m.clock()
		}
		m.known = record
		m.decided = decided
	}
	m.group.RecordVote(record.Epoch, record.Primary)
}

// tick is the periodic work of a member.
func (m *member) tick() {
	now := m.clock()
	if m.lastTick > 0 && now-m.lastTick > lease.StallThreshold {
		m.stores.ExtendAll(now - m.lastTick)
		m.hosts.Restart(now)
	}
	m.lastTick = now
	m.hosts.RenewHolder(m.id, m.rejectedHeartbeats, now, now)
	m.group.Tick(now, true)
	m.processOutput()
	m.supervise()
}

func (m *member) supervise() {
	status := m.status()
	switch {
	case status.Role == lease.Primary && status.HasLease(m.clock()):
		m.adjustInSync()
		if status.Ready {
			m.runPrimary()
		}
	case status.Role != lease.Primary:
		m.watchPrimary()
	}
}

func (m *member) runPrimary() {
	now := m.clock()
	if epochStart := m.group.EpochStartIndex(); m.sessionsEpochStart != epochStart {
		m.sessionsEpochStart = epochStart
		var hosts []string
		for id := range m.machine.Hosts() {
			hosts = append(hosts, id)
		}
		incarnations := map[uint64]uint64{}
		for i := range m.s.stores {
			incarnations[uint64(i)] = 1
		}
		m.hosts.Begin(hosts, now)
		m.stores.Begin(incarnations, now)
	}
	for _, id := range m.hosts.Expired(heartbeatInterval, now) {
		if _, listed := m.machine.Host(id); !listed {
			m.hosts.Forget(id)
			continue
		}
		m.hosts.BeginRemoval(id)
		m.submit(state.RemoveHost{ID: id}, func(_ state.Result, err error) {
			m.hosts.FinishRemoval(id, err == nil, m.clock())
			if err == nil {
				m.s.checkRemoval(m, id)
			}
		})
	}
	m.s.checkStores(m)
}

func (s *sim) addMember(p process, initial consensus.Record) {
	m := &member{
		s: s, process: p, id: uint64(p) + 1, clockOffset: 1 << 20 * (1 + s.random.Int63n(9)), machine: &machine{State: state.New()},
		acceptor: consensus.Acceptor{Promised: consensus.ProposalNumber{Round: 1, Proposer: 1}, Accepted: consensus.ProposalNumber{Round: 1, Proposer: 1}, Value: initial},
		known:    initial, hosts: lease.NewHostSessions(), stores: lease.NewStoreSessions(),
		unreported: map[string]int64{}, pending: map[uint64]func(state.Result, error){},
	}
	m.open()
	m.epochSeenAt = m.clock()
	s.members = append(s.members, m)
	if initial.Primary == m.id {
		m.hasLed = true
		s.after(1, func() {
			m.group.SetView(membership.View(initial), m.clock())
			m.processOutput()
		})
	}
	s.every(tickInterval, func() { s.run(p, m.tickUnlessFrozen) })
	s.every(lease.ReportInterval, func() { s.run(p, m.report) })
	s.every(heartbeat.MemberInterval.Milliseconds(), func() { s.run(p, m.sendHeartbeat) })
}

// tickUnlessFrozen drops ticks that accumulated while the member was frozen.
func (m *member) tickUnlessFrozen() {
	if m.clock()-m.lastTick >= tickInterval/2 {
		m.tick()
	}
}
