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
	s         *network
	place     place
	id        uint64
	origin    int64 // of its steady clock
	frozen    bool
	backlog   []func()
	group     *replica.Group
	machine   *machine
	witness   consensus.Acceptor
	known     consensus.Record
	decided   bool // known was decided by a proposal of this member
	learned   int64
	hasLed    bool
	rounds    *consensus.RoundAllocator
	limit     uint64 // of the rounds, on disk
	disk      disk
	synced    int64 // when the last write reaches the disk
	life      int   // restarts so far
	startedAt int64 // of its process
	wellSince int64 // since when it runs and has a majority around it, 0 if it has not
	busy      bool  // a proposal runs
	backoff   lease.ElectionBackoff
	hosts     *lease.HostSessions
	stores    *lease.StoreSessions
	leading   uint64
	ticked    int64
	located   int64
	heard     map[string]int64 // when the hosts were heard that the primary was not told of
	refusals  uint64
	waiting   map[uint64]func(state.Result, error)
	guess     place // where the primary may be
}

func (m *member) clock() int64 { return m.s.now + m.origin }

func (m *member) standing() lease.Status {
	standing := lease.Status{Role: lease.Backup, ConfirmedSince: m.group.ConfirmedSince(m.clock())}
	if m.group.IsPrimary() {
		standing.Role = lease.Primary
		standing.Ready = m.group.IsReady()
	}
	return standing
}

func (m *member) mayServe() bool { return m.standing().MayServe(m.clock()) }

func (m *member) carryOut() {
	output := m.group.TakeOutput()
	if output.SteppedDown {
		waiting := m.waiting
		m.waiting = map[uint64]func(state.Result, error){}
		for _, index := range sortedKeys(waiting) {
			waiting[index](state.Result{}, codes.Timeout)
		}
	}
	for _, write := range output.Writes {
		life := m.life
		m.synced = max(m.synced, m.s.now+1+m.s.random.Int63n(3)) // a disk keeps the order of writes
		m.s.at(m.synced-m.s.now, func() {
			m.s.run(m.place, func() {
				if life == m.life {
					m.written(write)
				}
			})
		})
	}
	for _, out := range output.Messages {
		to := place(out.To - 1)
		m.s.send(m.place, to, func() {
			peer := m.s.members[to]
			peer.group.Step(m.id, out.Message, peer.clock())
			peer.carryOut()
		})
	}
	for _, applied := range output.Applied {
		if waiter := m.waiting[applied.Index]; waiter != nil {
			delete(m.waiting, applied.Index)
			waiter(applied.Result.(state.Result), nil)
		}
	}
	m.group.Trim()
}

func sortedKeys(waiting map[uint64]func(state.Result, error)) []uint64 {
	var keys []uint64
	for key := range waiting {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (m *member) written(write replica.Write) {
	m.disk.write(write)
	if write.Snapshot != nil {
		m.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, m.clock())
	}
	if n := len(write.Entries); n > 0 {
		m.group.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, m.clock())
	}
	m.carryOut()
}

// submit proposes a command here.
func (m *member) submit(command state.Command, done func(state.Result, error)) {
	if err := m.standing().MayDecide(m.clock()); err != nil {
		done(state.Result{}, err)
		return
	}
	index := m.group.Propose(command.Encode(), m.clock())
	m.waiting[index] = done
	m.s.at(proposal.Timeout.Milliseconds(), func() {
		m.s.run(m.place, func() {
			if m.waiting[index] != nil {
				delete(m.waiting, index)
				done(state.Result{}, codes.Timeout)
			}
		})
	})
	m.carryOut()
}

// learn takes a record that need not have been decided.
func (m *member) learn(record consensus.Record) { m.note(record, false) }

func (m *member) note(record consensus.Record, decided bool) {
	if election.Supersedes(record, decided, m.known, m.decided) {
		if record.Epoch > m.known.Epoch {
			m.learned = m.clock()
			m.startedAt = m.clock()
		}
		m.known = record
		m.decided = decided
	}
	m.group.RecordVote(record.Epoch, record.Primary)
}

// tick is the work that a member does all the time.
func (m *member) tick() {
	now := m.clock()
	if m.ticked > 0 && now-m.ticked > lease.StallThreshold {
		m.stores.ExtendAll(now - m.ticked)
		m.hosts.Restart(now)
	}
	m.ticked = now
	m.hosts.RenewHolder(m.id, m.refusals, now, now)
	m.group.Tick(now, true)
	m.carryOut()
	m.supervise()
}

func (m *member) supervise() {
	standing := m.standing()
	switch {
	case standing.Role == lease.Primary && standing.HasLease(m.clock()):
		m.adjustInSync()
		if standing.Ready {
			m.lead()
		}
	case standing.Role != lease.Primary:
		m.watchPrimary()
	}
}

func (m *member) lead() {
	now := m.clock()
	if opened := m.group.EpochStartIndex(); m.leading != opened {
		m.leading = opened
		var hosts []string
		for id := range m.machine.Hosts() {
			hosts = append(hosts, id)
		}
		boots := map[uint64]uint64{}
		for i := range m.s.stores {
			boots[uint64(i)] = 1
		}
		m.hosts.Begin(hosts, now)
		m.stores.Begin(boots, now)
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

func (s *network) addMember(p place, first consensus.Record) {
	m := &member{
		s: s, place: p, id: uint64(p) + 1, origin: 1 << 20 * (1 + s.random.Int63n(9)), machine: &machine{State: state.New()},
		witness: consensus.Acceptor{Promised: consensus.ProposalNumber{Round: 1, Proposer: 1}, Accepted: consensus.ProposalNumber{Round: 1, Proposer: 1}, Value: first},
		known:   first, hosts: lease.NewHostSessions(), stores: lease.NewStoreSessions(),
		heard: map[string]int64{}, waiting: map[uint64]func(state.Result, error){},
	}
	m.open()
	m.learned = m.clock()
	s.members = append(s.members, m)
	if first.Primary == m.id {
		m.hasLed = true
		s.at(1, func() {
			m.group.SetView(membership.View(first), m.clock())
			m.carryOut()
		})
	}
	s.every(tickInterval, func() { s.run(p, m.tickUnlessFrozen) })
	s.every(lease.ReportInterval, func() { s.run(p, m.report) })
	s.every(heartbeat.MemberInterval.Milliseconds(), func() { s.run(p, m.sendHeartbeat) })
}

// tickUnlessFrozen drops ticks that piled up while the member stood still.
func (m *member) tickUnlessFrozen() {
	if m.clock()-m.ticked >= tickInterval/2 {
		m.tick()
	}
}
