package control

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/consensus"
	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/replica"
)

// The simulation plays control members, hosts, stores, subscribers and an operator in virtual time, on links that can be cut in
// each direction, with members that stand still and read late what came meanwhile. Decisions are those of tier/lease,
// tier/replica, tier/consensus and State; the adapters around them are played here. simjudge_test.go says what is judged.

const (
	simLength     = 34_000 // milliseconds
	simTick       = 40
	simHeartbeat  = 300
	simHosts      = 4
	simStores     = 2
	simFollowers  = 6
	simFirstOrder = 600
	simRepair     = 1200 // within which a host that is acknowledged has to be on the list
	simStable     = 4000 // of an unchanged network, after which orders must be taken
	orderPatience = 2500 // within which a connected majority has to take an order
)

// simEvent is something that happens at a time.
type simEvent struct {
	at    int64
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simMachine is the control state with the versions that it took.
type simMachine struct {
	*state.State
	versions []uint64
}

func (m *simMachine) Apply(index uint64, data []byte) any {
	result := m.State.Apply(index, data).(state.Result)
	if c, err := state.DecodeCommand(data); err == nil && result.Code == codes.OK {
		if order, is := c.(state.ReplaceConfig); is {
			m.versions = append(m.versions, order.Version)
		}
	}
	return result
}

func (m *simMachine) Snapshot() []byte {
	var e codec.Encoder
	e.Blob(m.State.Snapshot())
	e.Uint64s(m.versions)
	return e.Bytes
}

func (m *simMachine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	held := d.Blob()
	m.versions = d.Uint64s()
	return m.State.Restore(held)
}

// readConfig reads the configuration without a commit, as no member may.
func (m *simMachine) readConfig() state.Result {
	data, found := m.View.Get(feed.SectionConfig, directory.CurrentKey)
	if !found {
		return state.Result{Code: codes.ConfigNone}
	}
	_, body := state.SplitConfig(data)
	return state.Result{Body: body}
}

// forgetAnswers has the state forget which orders it answered, as no member may: it is restored from a snapshot that ends without
// them.
func (m *simMachine) forgetAnswers() {
	snapshot := m.State.Snapshot()
	d := codec.NewDecoder(snapshot)
	d.Blob()
	for range d.Uint32() {
		_, _, _, _ = d.String(), d.Uint64(), d.Bool(), d.Uint64()
	}
	answered := configlog.Decode(d)
	var kept, none codec.Encoder
	answered.Encode(&kept)
	(&configlog.Log{}).Encode(&none)
	if err := m.State.Restore(append(snapshot[:len(snapshot)-len(kept.Bytes)], none.Bytes...)); err != nil {
		panic(err)
	}
}

// version is the configuration in place.
func (m *simMachine) version() uint64 { return m.State.ConfigVersion() }

// place is a process of the simulation. Members have the numbers from 0 on.
type place int

const (
	firstHost     place = 100
	firstStore    place = 200
	firstFollower place = 300
	operatorPlace place = 400
)

func zoneOf(p place) int { return int(p) % 100 % 3 }

type link struct{ from, to place }

// simNetwork is the network with all that is on it.
type simNetwork struct {
	t        testing.TB
	random   *rand.Rand
	now      int64
	queue    simQueue
	order    int
	cut      map[link]bool
	arrives  map[link]int64 // when the last message of a link arrives
	held     []simHeld      // messages that wait for the end of a cut
	changed  int64          // when the network last changed
	members  []*simMember
	hosts    []*simHost
	stores   []*simStore
	follow   []*simFollower
	operator *simOperator
	digest   eventDigest
}

type simHeld struct {
	link link
	run  func()
}

func (s *simNetwork) at(delay int64, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + delay, s.order, run})
}

func (s *simNetwork) every(interval int64, run func()) {
	s.at(s.random.Int63n(interval)+1, func() {
		run()
		s.repeat(interval, run)
	})
}

func (s *simNetwork) repeat(interval int64, run func()) {
	s.at(interval, func() {
		run()
		s.repeat(interval, run)
	})
}

// send has a message read at its destination, in the order of its link. A cut loses it, or holds it until the cut ends.
func (s *simNetwork) send(from, to place, read func()) {
	way := link{from, to}
	if s.cut[way] {
		if s.random.Intn(2) == 0 {
			s.held = append(s.held, simHeld{way, read})
		}
		return
	}
	delay := 1 + s.random.Int63n(12)
	if s.random.Intn(6) == 0 { // a busy moment
		delay += s.random.Int63n(60)
	}
	arrival := max(s.arrives[way], s.now+delay)
	s.arrives[way] = arrival
	s.at(arrival-s.now, func() { s.run(to, read) })
}

// run has a process do something, or later if it stands still.
func (s *simNetwork) run(p place, work func()) {
	if int(p) < len(s.members) {
		m := s.members[p]
		if m.frozen {
			m.backlog = append(m.backlog, work)
			return
		}
	}
	work()
}

// call sends a question and waits for its answer; answered is called once, with ok false after the timeout.
func call[A any](s *simNetwork, from, to place, timeout int64, ask func(answer func(A)), answered func(got A, ok bool)) {
	done := false
	finish := func(got A, ok bool) {
		if !done {
			done = true
			answered(got, ok)
		}
	}
	s.send(from, to, func() {
		ask(func(got A) { s.send(to, from, func() { finish(got, true) }) })
	})
	s.at(timeout, func() {
		s.run(from, func() {
			var none A
			finish(none, false)
		})
	})
}

// setCut cuts or heals a direction.
func (s *simNetwork) setCut(from, to place, cut bool) {
	s.cut[link{from, to}] = cut
	s.noteChange()
}

// noteChange notes since when each member runs and has a majority around it.
func (s *simNetwork) noteChange() {
	s.changed = s.now
	for _, m := range s.members {
		around := 0
		for _, other := range s.members {
			if !m.frozen && !other.frozen && s.connected(m.place, other.place) {
				around++
			}
		}
		switch {
		case around <= len(s.members)/2:
			m.wellSince = 0
		case m.wellSince == 0:
			m.wellSince = s.now
		}
	}
}

// heal ends all cuts; what was held arrives.
func (s *simNetwork) heal() {
	clear(s.cut)
	s.noteChange()
	held := s.held
	s.held = nil
	for _, each := range held {
		s.send(each.link.from, each.link.to, each.run)
	}
}

func (s *simNetwork) freeze(m *simMember, span int64) {
	if m.frozen {
		return
	}
	m.frozen = true
	s.noteChange()
	s.at(span, func() {
		m.frozen = false
		s.noteChange()
		backlog := m.backlog
		m.backlog = nil
		if s.random.Intn(2) == 0 {
			m.tick()
		}
		for _, work := range backlog {
			s.run(m.place, work)
		}
	})
}

// simMember is a control process.
type simMember struct {
	s         *simNetwork
	place     place
	id        uint64
	origin    int64 // of its steady clock
	frozen    bool
	backlog   []func()
	group     *replica.Group
	machine   *simMachine
	witness   consensus.Acceptor
	known     consensus.Record
	learned   int64
	hasLed    bool
	rounds    *consensus.RoundAllocator
	limit     uint64 // of the rounds, on disk
	disk      simDisk
	synced    int64 // when the last write reaches the disk
	life      int   // restarts so far
	startedAt int64 // of its process
	wellSince int64 // since when it runs and has a majority around it, 0 if it has not
	busy      bool  // a proposal runs
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

func (m *simMember) clock() int64 { return m.s.now + m.origin }

func (m *simMember) standing() lease.Status {
	standing := lease.Status{Role: lease.Backup, ConfirmedSince: m.group.ConfirmedSince(m.clock())}
	if m.group.IsPrimary() {
		standing.Role = lease.Primary
		standing.Ready = m.group.IsReady()
	}
	return standing
}

func (m *simMember) mayServe() bool { return m.standing().MayServe(m.clock()) }

func (m *simMember) carryOut() {
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

func (m *simMember) written(write replica.Write) {
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
func (m *simMember) submit(command state.Command, done func(state.Result, error)) {
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

func (m *simMember) learn(record consensus.Record) {
	if record.Epoch > m.known.Epoch {
		m.known = record
		m.learned = m.clock()
		m.startedAt = m.clock()
	}
	m.group.RecordVote(record.Epoch, record.Primary)
}

// tick is the work that a member does all the time.
func (m *simMember) tick() {
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

func (m *simMember) supervise() {
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

func (m *simMember) lead() {
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
	for _, id := range m.hosts.Expired(simHeartbeat, now) {
		if _, listed := m.machine.Host(id); !listed {
			m.hosts.Forget(id)
			continue
		}
		m.hosts.BeginRemoval(id)
		m.submit(state.RemoveHost{ID: id}, func(_ state.Result, err error) {
			m.hosts.FinishRemoval(id, err == nil, m.clock())
			if err == nil {
				m.s.judgeRemoval(m, id)
			}
		})
	}
	m.s.judgeStores(m)
}

// hostBeat is the primary's part in a heartbeat that is not kept by a backup.
func (m *simMember) hostBeat(host directory.Host, answer func(bool)) {
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
func (m *simMember) heartbeat(host directory.Host, answer func(bool)) {
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
		m.hostBeat(host, answer)
		return
	}
	onPrimary(m, func(p *simMember, reply func(bool)) { p.hostBeat(host, reply) }, func(ok, reached bool) { answer(ok && reached) })
}

// onPrimary has the primary do something, once.
func onPrimary[A any](m *simMember, work func(primary *simMember, answer func(A)), done func(A, bool)) {
	to := m.guess
	type reply struct {
		answer A
		leads  bool
		hint   place
	}
	if to == m.place {
		m.guess = place((int(to) + 1) % len(m.s.members))
		to = m.guess
	}
	call(m.s, m.place, to, lease.PrimaryAttemptTimeout, func(answer func(reply)) {
		p := m.s.members[to]
		if p.standing().MayDecide(p.clock()) != nil {
			answer(reply{hint: p.hint()})
			return
		}
		work(p, func(a A) { answer(reply{answer: a, leads: true}) })
	}, func(got reply, ok bool) {
		if !ok || !got.leads {
			m.guess = place((int(to) + 1) % len(m.s.members))
			if ok && got.hint >= 0 && got.hint != to {
				m.guess = got.hint
			}
		}
		done(got.answer, ok && got.leads)
	})
}

// hint is where the primary in force is, -1 if this member doesn't know.
func (m *simMember) hint() place {
	if m.group.IsPrimary() || !m.standing().HasLease(m.clock()) {
		return -1
	}
	return place(m.group.View().Primary) - 1
}

// report tells the primary which hosts were heard.
func (m *simMember) report() {
	heard := m.heard
	m.heard = map[string]int64{}
	if len(heard) == 0 {
		return
	}
	sent, question := m.clock(), m.group.LastProbe()
	keep := func(p *simMember, written int64) bool {
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
	onPrimary(m, func(p *simMember, answer func(bool)) {
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

// beat keeps the session with the primary.
func (m *simMember) beat() {
	if m.group.IsReady() {
		return
	}
	refusals, question := m.refusals, m.group.LastProbe()
	onPrimary(m, func(p *simMember, answer func(consensus.Record)) {
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

func newSimNetwork(t testing.TB, seed int64) *simNetwork {
	s := newSimMembers(t, seed)
	for i := range simHosts {
		s.addHost(firstHost + place(i))
	}
	for i := range simStores {
		s.addStore(firstStore + place(i))
	}
	for i := range simFollowers {
		s.addFollower(firstFollower + place(i))
	}
	s.operator = newSimOperator(s)
	return s
}

// newSimMembers makes a network of three or five members that nobody calls.
func newSimMembers(t testing.TB, seed int64) *simNetwork {
	s := &simNetwork{t: t, random: rand.New(rand.NewSource(seed)), now: 1, cut: map[link]bool{}, arrives: map[link]int64{}}
	count := 3
	if s.random.Intn(4) == 0 {
		count = 5
	}
	first := consensus.Record{Epoch: 1, Primary: 1}
	for i := range count {
		first.Members = append(first.Members, consensus.Member{ID: uint64(i + 1), Address: fmt.Sprint("m", i)})
		first.InSync = append(first.InSync, uint64(i+1))
	}
	first = membership.Policy{Tolerate: (count - 1) / 2}.WithMinInSync(first)
	for i := range count {
		s.addMember(place(i), first)
	}
	s.noteChange()
	return s
}

func (s *simNetwork) addMember(p place, first consensus.Record) {
	m := &simMember{
		s: s, place: p, id: uint64(p) + 1, origin: 1 << 20 * (1 + s.random.Int63n(9)), machine: &simMachine{State: state.New()},
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
	s.every(simTick, func() { s.run(p, m.tickUnlessFrozen) })
	s.every(lease.ReportInterval, func() { s.run(p, m.report) })
	s.every(heartbeat.MemberInterval.Milliseconds(), func() { s.run(p, m.beat) })
}

// tickUnlessFrozen drops ticks that piled up while the member stood still.
func (m *simMember) tickUnlessFrozen() {
	if m.clock()-m.ticked >= simTick/2 {
		m.tick()
	}
}

// play runs the events up to a time.
func (s *simNetwork) play(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		s.digest.add(event)
		event.run()
	}
	s.now = until
}
