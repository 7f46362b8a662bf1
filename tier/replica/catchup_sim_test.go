package replica

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/consensus"
)

// This simulation plays hundreds to thousands of changes against a group of which replicas are down, wiped, cut off or started
// again and again while they catch up. Time is virtual. Links have a bandwidth and a delay and keep the order of messages; disks
// have a delay and a bandwidth; what was not synced is lost with the power.

const (
	catchupSeedsVariable = "TIER_CATCHUP_SEEDS"
	defaultCatchupSeeds  = 200

	millisecond  = int64(1000) // virtual time is counted in microseconds
	catchupNodes = 3
	minimumSync  = 2 // replicas that stay in the in-sync set
	tickPeriod   = 40 * millisecond
	primaryLost  = 600 * millisecond
	watchPeriod  = 50 * millisecond
	// memoryCheckEvery is how many events pass between looks at the entries that a node holds, for the test's own speed.
	memoryCheckEvery = 5
)

// countedMachine keeps the numbers of the changes applied, and bytes that stand for the rest of a state.
type countedMachine struct {
	applied []uint32
	held    map[uint32]bool
	padding []byte
}

func newCountedMachine(padding int) *countedMachine {
	return &countedMachine{held: map[uint32]bool{}, padding: make([]byte, padding)}
}

func (m *countedMachine) Apply(_ uint64, command []byte) any {
	number := binary.BigEndian.Uint32(command)
	m.applied = append(m.applied, number)
	m.held[number] = true
	return nil
}

func (m *countedMachine) Snapshot() []byte {
	var e codec.Encoder
	e.Blob(m.padding)
	e.Uint32(uint32(len(m.applied)))
	for _, number := range m.applied {
		e.Uint32(number)
	}
	return e.Bytes
}

func (m *countedMachine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	m.padding = d.Blob()
	m.applied = nil
	m.held = map[uint32]bool{}
	for range d.Count(4) {
		number := d.Uint32()
		m.applied = append(m.applied, number)
		m.held[number] = true
	}
	return d.Err()
}

// catchupPlan is what one seed plays.
type catchupPlan struct {
	changes       int
	changeBytes   int
	interval      int64 // between changes
	padding       int   // of the state
	retainedBytes int
	chunkBytes    int
	slowLink      int64 // bytes a second of the replica that is faulty
	link          int64 // bytes a second of the others
	delay         int64
	sync          int64 // of a disk
	fault         string
	upFor         int64 // between restarts
}

var catchupFaults = []string{"down", "down for all", "wiped", "wiped twice", "restarted often", "cut off often", "primary lost", "power lost", "primary lost in a transfer"}

func drawPlan(random *rand.Rand) catchupPlan {
	p := catchupPlan{
		changes:       500 + random.Intn(700),
		changeBytes:   200 + random.Intn(2000),
		interval:      (5 + random.Int63n(45)) * millisecond,
		padding:       random.Intn(200_000),
		retainedBytes: (8 + random.Intn(120)) << 10,
		chunkBytes:    (1 + random.Intn(16)) << 10,
		delay:         (100 + random.Int63n(5000)),
		sync:          (1 + random.Int63n(8)) * millisecond,
		fault:         catchupFaults[random.Intn(len(catchupFaults))],
		upFor:         (50 + random.Int63n(1500)) * millisecond,
	}
	if random.Intn(20) == 0 {
		p.changes = 5000
		p.changeBytes = 200
		p.interval = (5 + random.Int63n(5)) * millisecond
	}
	// a link that carries the changes at least twice as fast as they come
	rate := int64(p.changeBytes+200) * 1_000_000 / p.interval
	p.slowLink = 2*rate + 20_000 + random.Int63n(4*rate+200_000)
	p.link = 4*p.slowLink + 1_000_000
	return p
}

type catchupNode struct {
	position    int
	id          uint64
	starts      int
	incarnation uint64
	up          bool
	group       *Group
	machine     *countedMachine
	slots       *TransferSlots
	disk        simDisk
	queued      []Write
	syncing     []Write
	viewEpoch   uint64
	ready       bool
	lostAt      int64
}

type catchupLink struct {
	freeAt           int64
	cut              bool
	connection       int   // of the connection
	queuedChunkBytes int64 // bytes of snapshots that wait
}

type event struct {
	at    int64
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type catchupSim struct {
	t                   testing.TB
	random              *rand.Rand
	plan                catchupPlan
	now                 int64
	order               int
	events              eventQueue
	nodes               []*catchupNode
	links               [catchupNodes][catchupNodes]catchupLink
	view                View
	primaryIncarnation  uint64
	nextID              uint64
	waiting             map[uint64]map[uint64]uint32 // by incarnation of the primary and index
	acknowledged        map[uint32]bool
	lastChange          uint32
	faultEndedAt        int64 // when the last fault ended
	inSyncAt            int64 // when all were in sync for good
	faultEnded          bool
	maxLogBytes         int
	maxQueuedBytes      int64 // longest queue of a link, in bytes
	maxQueuedChunkBytes int64 // most bytes of snapshots that waited on a link
}

func newCatchupSim(t testing.TB, seed int64) *catchupSim {
	random := rand.New(rand.NewSource(seed))
	return newPlannedSim(t, random, drawPlan(random))
}

func newPlannedSim(t testing.TB, random *rand.Rand, plan catchupPlan) *catchupSim {
	s := &catchupSim{
		t: t, random: random, plan: plan, now: 1000 * millisecond, nextID: 1,
		waiting: map[uint64]map[uint64]uint32{}, acknowledged: map[uint32]bool{},
	}
	for position := range catchupNodes {
		node := &catchupNode{position: position}
		s.nodes = append(s.nodes, node)
		s.wipe(node)
		s.start(node)
		s.view.InSync = append(s.view.InSync, node.id)
	}
	s.view.Replicas = append([]uint64(nil), s.view.InSync...)
	s.view.Primary = s.view.InSync[0]
	s.view.Epoch = 1
	s.primaryIncarnation = s.nodes[0].incarnation
	return s
}

func (s *catchupSim) schedule(after int64, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + after, s.order, run})
}

func (s *catchupSim) ms() int64 { return s.now / millisecond }

func (s *catchupSim) find(id uint64) *catchupNode {
	for _, node := range s.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

func (s *catchupSim) wipe(node *catchupNode) {
	node.id = s.nextID
	s.nextID++
	node.disk = simDisk{}
}

func (s *catchupSim) start(node *catchupNode) {
	node.starts++
	node.incarnation = s.random.Uint64()
	node.up = true
	node.ready = false
	node.viewEpoch = 0
	node.queued, node.syncing = nil, nil
	node.machine = newCountedMachine(s.plan.padding)
	node.slots = NewTransferSlots(1)
	group, err := NewGroup(node.id, node.machine, node.disk.base, append([]Entry(nil), node.disk.entries...), Options{
		EagerCommit: true, RetainedEntries: 16, RetainedBytes: s.plan.retainedBytes, SnapshotChunkBytes: s.plan.chunkBytes, TransferSlots: node.slots,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	node.group = group
	starts := node.starts
	var tick func()
	tick = func() {
		if node.starts != starts || !node.up {
			return
		}
		node.group.Tick(s.ms(), true)
		s.carryOut(node)
		s.schedule(tickPeriod, tick)
	}
	s.schedule(s.random.Int63n(tickPeriod), tick)
}

// stop loses the power: some prefix of the writes that are not synced may be on the disk.
func (s *catchupSim) stop(node *catchupNode) {
	if !node.up {
		return
	}
	node.up = false
	node.lostAt = s.now
	pending := slices.Concat(node.syncing, node.queued)
	for _, write := range pending[:s.random.Intn(len(pending)+1)] {
		node.disk.write(write)
	}
	for other := range s.nodes {
		s.links[node.position][other].disconnect(s.now)
		s.links[other][node.position].disconnect(s.now)
	}
}

// disconnect ends the connection; what waited on it is lost.
func (l *catchupLink) disconnect(now int64) {
	l.connection++
	l.freeAt = now
	l.queuedChunkBytes = 0
}

func (s *catchupSim) bandwidth(from, to int) int64 {
	if from == catchupNodes-1 || to == catchupNodes-1 {
		return s.plan.slowLink
	}
	return s.plan.link
}

func (s *catchupSim) send(from *catchupNode, out Outgoing) {
	to := s.find(out.To)
	if to == nil || !to.up {
		return
	}
	link := &s.links[from.position][to.position]
	if link.cut {
		return
	}
	size := int64(100 + len(out.Message.Chunk))
	for _, entry := range out.Message.Entries {
		size += int64(20 + len(entry.Data))
	}
	rate := s.bandwidth(from.position, to.position)
	link.freeAt = max(link.freeAt, s.now) + size*1_000_000/rate
	s.maxQueuedBytes = max(s.maxQueuedBytes, (link.freeAt-s.now)*rate/1_000_000)
	chunk := int64(len(out.Message.Chunk))
	link.queuedChunkBytes += chunk
	s.maxQueuedChunkBytes = max(s.maxQueuedChunkBytes, link.queuedChunkBytes)
	connection := link.connection
	s.schedule(link.freeAt-s.now, func() {
		if link.connection == connection {
			link.queuedChunkBytes -= chunk
		}
	})
	message := out.Message
	sender := from.id
	s.schedule(link.freeAt-s.now+s.plan.delay, func() {
		if link.connection != connection || !to.up || to.id != out.To {
			return
		}
		to.group.Step(sender, message, s.ms())
		s.carryOut(to)
	})
}

func (s *catchupSim) carryOut(node *catchupNode) {
	output := node.group.TakeOutput()
	if output.SteppedDown {
		delete(s.waiting, node.incarnation)
	}
	node.queued = append(node.queued, output.Writes...)
	s.sync(node)
	for _, out := range output.Messages {
		s.send(node, out)
	}
	for _, applied := range output.Applied {
		if number, waits := s.waiting[node.incarnation][applied.Index]; waits {
			s.acknowledged[number] = true
			delete(s.waiting[node.incarnation], applied.Index)
		}
	}
	node.group.Trim()
	s.checkMemory(node)
	s.checkLeadership(node)
}

// checkMemory holds the log in memory against its bound: what is kept, what is not committed, and what stays behind a snapshot.
func (s *catchupSim) checkMemory(node *catchupNode) {
	state := s.plan.padding + 8 + 4*len(node.machine.applied)
	bound := s.plan.retainedBytes*5/4 + 2*(s.plan.changeBytes+entryOverhead)
	if node.group.IsPrimary() {
		bound += s.plan.retainedBytes + 2*state // behind a snapshot that is under way
	}
	s.maxLogBytes = max(s.maxLogBytes, node.group.log.bytes)
	if s.order%memoryCheckEvery != 0 {
		return
	}
	if applied := node.group.log.bytesBetween(node.group.log.base.index, node.group.commit.applied); applied > bound {
		s.t.Fatalf("%d bytes of applied entries in memory, %d are allowed: %+v", applied, bound, s.plan)
	}
}

// checkLeadership checks that a primary begins with all that was acknowledged.
func (s *catchupSim) checkLeadership(node *catchupNode) {
	ready := node.group.IsReady()
	if ready && !node.ready {
		for number := range s.acknowledged {
			if !node.machine.held[number] {
				s.t.Fatalf("primary of epoch %d leads without change %d: %+v", node.group.View().Epoch, number, s.plan)
			}
		}
	}
	node.ready = ready
}

// sync makes queued writes durable after the disk's delay, one group commit after the other.
func (s *catchupSim) sync(node *catchupNode) {
	if len(node.syncing) > 0 || len(node.queued) == 0 {
		return
	}
	node.syncing, node.queued = node.queued, nil
	starts := node.starts
	s.schedule(s.plan.sync, func() {
		if node.starts != starts || !node.up {
			return
		}
		writes := node.syncing
		node.syncing = nil
		for _, write := range writes {
			node.disk.write(write)
		}
		for _, write := range writes {
			node.group.WriteCompleted(write)
			if write.Snapshot != nil {
				node.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, s.ms())
			}
			if n := len(write.Entries); n > 0 {
				node.group.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, s.ms())
			}
		}
		if s.random.Intn(50) == 0 {
			s.compact(node)
		}
		s.carryOut(node)
	})
}

// compact writes the disk's state anew.
func (s *catchupSim) compact(node *catchupNode) {
	if len(node.queued) > 0 {
		return
	}
	snapshot, entries := node.group.CompactionState()
	node.disk = simDisk{base: snapshot, entries: append([]Entry(nil), entries...)}
}

func (s *catchupSim) propose() {
	if int(s.lastChange) >= s.plan.changes {
		return
	}
	s.schedule(s.plan.interval, s.propose)
	for _, node := range s.nodes {
		if !node.up || !node.group.IsReady() || !node.group.HasCapacity() {
			continue
		}
		s.lastChange++
		command := make([]byte, s.plan.changeBytes)
		binary.BigEndian.PutUint32(command, s.lastChange)
		if s.waiting[node.incarnation] == nil {
			s.waiting[node.incarnation] = map[uint64]uint32{}
		}
		s.waiting[node.incarnation][node.group.Propose(command, s.ms())] = s.lastChange
		s.carryOut(node)
		return
	}
}

// watch is the authority that control is for a group.
func (s *catchupSim) watch() {
	s.schedule(watchPeriod, s.watch)
	s.adjustView()
	for _, node := range s.nodes {
		if !node.up || node.viewEpoch == s.view.Epoch || (s.view.Primary == node.id && s.primaryIncarnation != node.incarnation) {
			continue
		}
		node.viewEpoch = s.view.Epoch
		node.group.SetView(s.view, s.ms())
		s.carryOut(node)
	}
	if s.faultEnded && s.inSyncAt == 0 && s.allInSync() {
		s.inSyncAt = s.now
	}
}

func (s *catchupSim) alive(id uint64) bool {
	node := s.find(id)
	return node != nil && (node.up || s.now-node.lostAt < primaryLost)
}

func (s *catchupSim) adjustView() {
	next := s.view
	next.Replicas = nil
	for _, node := range s.nodes {
		next.Replicas = append(next.Replicas, node.id)
	}
	next.InSync = nil
	for _, id := range s.view.InSync {
		if s.find(id) != nil {
			next.InSync = append(next.InSync, id)
		}
	}
	primary := s.find(next.Primary)
	if !s.alive(next.Primary) || primary.incarnation != s.primaryIncarnation {
		next.Primary = 0
		for _, id := range next.InSync {
			if node := s.find(id); node.up && next.Primary == 0 {
				next.Primary = id
			}
		}
		if next.Primary == 0 {
			return
		}
		s.setView(next)
		return
	}
	if len(next.InSync) != len(s.view.InSync) || !slices.Equal(next.Replicas, s.view.Replicas) {
		s.setView(next)
		return
	}
	s.admitOrDrop(primary)
}

func (s *catchupSim) setView(next View) {
	next.Epoch = s.view.Epoch + 1
	s.view = next
	s.primaryIncarnation = s.find(next.Primary).incarnation
}

func (s *catchupSim) admitOrDrop(primary *catchupNode) {
	if !primary.up || primary.group.View().Epoch != s.view.Epoch {
		return
	}
	if caughtUp := primary.group.CaughtUp(s.ms()); len(caughtUp) > 0 {
		primary.group.Admit(caughtUp[0])
		next := s.view
		next.InSync = append(append([]uint64(nil), s.view.InSync...), caughtUp[0])
		s.setView(next)
		return
	}
	for _, id := range primary.group.Unresponsive(s.ms()) {
		if len(s.view.InSync) > minimumSync || !s.view.IsInSync(id) {
			next := s.view
			next.InSync = consensus.Without(s.view.InSync, id)
			s.setView(next)
			return
		}
	}
}

func (s *catchupSim) allInSync() bool {
	for _, node := range s.nodes {
		if !s.view.IsInSync(node.id) {
			return false
		}
	}
	return true
}

// runUntil runs events until a moment.
func (s *catchupSim) runUntil(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		each := heap.Pop(&s.events).(event)
		s.now = each.at
		each.run()
	}
	s.now = max(s.now, until)
}

func (s *catchupSim) backup() *catchupNode { return s.nodes[catchupNodes-1] }

// safeToLose tells whether the in-sync set can do without a node's disk.
func (s *catchupSim) safeToLose(node *catchupNode) bool {
	up := 0
	for _, id := range s.view.InSync {
		if other := s.find(id); other != nil && other.up && other != node {
			up++
		}
	}
	return up >= minimumSync
}

// injectFault plays what the plan has for the last node, for a part of the changes or all, and returns when it is over.
func (s *catchupSim) injectFault() {
	node := s.backup()
	length := s.plan.interval * int64(s.plan.changes) / 4
	switch s.plan.fault {
	case "down":
		s.stopFor(node, length)
	case "down for all":
		s.stopFor(node, length*7/2)
	case "wiped":
		s.loseDisk(node, length)
	case "wiped twice":
		s.loseDisk(node, length)
		s.runUntil(s.now + length/2)
		s.loseDisk(node, length/8)
	case "restarted often":
		s.restartOften(node, length)
	case "cut off often":
		s.cutOffOften(node, length)
	case "primary lost":
		s.loseDisk(node, length)
		s.stopFor(s.find(s.view.Primary), length/2)
	case "primary lost in a transfer":
		s.loseDisk(node, length)
		s.runUntil(s.now + s.plan.upFor/4)
		s.stopFor(s.find(s.view.Primary), 2000*millisecond)
	case "power lost":
		s.stop(node)
		s.runUntil(s.now + length)
		s.losePower()
	}
}

// stopFor stops a node for a while.
func (s *catchupSim) stopFor(node *catchupNode, away int64) {
	s.stop(node)
	s.runUntil(s.now + away)
	s.start(node)
}

// restartOften stops a node for a while and then starts it again and again.
func (s *catchupSim) restartOften(node *catchupNode, away int64) {
	s.stop(node)
	s.runUntil(s.now + away)
	for range 8 {
		s.start(node)
		s.runUntil(s.now + s.plan.upFor)
		s.stop(node)
		s.runUntil(s.now + 100*millisecond)
	}
	s.start(node)
}

// cutOffOften loses a node's disk and cuts its links again and again while it catches up.
func (s *catchupSim) cutOffOften(node *catchupNode, away int64) {
	s.loseDisk(node, away)
	for range 8 {
		s.runUntil(s.now + s.plan.upFor)
		s.setCut(node, true)
		s.runUntil(s.now + 700*millisecond)
		s.setCut(node, false)
	}
}

// losePower stops and starts all nodes.
func (s *catchupSim) losePower() {
	for _, node := range s.nodes {
		s.stop(node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
}

func (s *catchupSim) loseDisk(node *catchupNode, away int64) {
	if !s.safeToLose(node) {
		return
	}
	s.stop(node)
	s.wipe(node)
	s.runUntil(s.now + away)
	s.start(node)
}

func (s *catchupSim) setCut(node *catchupNode, cut bool) {
	for other := range s.nodes {
		for _, link := range []*catchupLink{&s.links[node.position][other], &s.links[other][node.position]} {
			link.cut = cut
			link.disconnect(s.now)
		}
	}
}

// bound is how long a replica may need to be in sync again: the time to be heard, replaced as primary or admitted, waits of
// transfers (a chunk asked for again, a pause after the log outgrew one), and the bytes of the state and of the log over what the
// changes leave of the link. A link carries at least twice the changes.
func (s *catchupSim) bound() int64 {
	state := int64(s.plan.padding + 16 + 4*s.plan.changes)
	log := int64(2*s.plan.retainedBytes) + 2*state + uncommittedSlack/8
	rest := s.plan.slowLink / 2
	waits := int64(primaryLost/millisecond+2*chunkResendAfter+2*transferBackoffFirst+1000) * millisecond
	return waits + 20*s.plan.sync + (2*state+log)*1_000_000/rest
}

// run plays the plan and returns how long the last replica needed after the fault.
func (s *catchupSim) run() (took, bound int64) {
	s.schedule(0, s.watch)
	s.runUntil(s.now + 500*millisecond)
	s.propose()
	s.runUntil(s.now + s.plan.interval*int64(s.plan.changes)/10)
	s.injectFault()
	s.faultEndedAt = s.now
	s.faultEnded = true
	bound = s.bound()
	s.runUntil(s.now + bound)
	took = s.inSyncAt - s.faultEndedAt
	s.verify()
	return took, bound
}

func (s *catchupSim) verify() {
	if s.inSyncAt == 0 {
		s.t.Fatalf("not all replicas are in sync %d ms after the last fault: %+v", s.bound()/millisecond, s.plan)
	}
	queue := int64(maxInFlight+2*maxAppendBytes) + int64(2*windowChunks*s.plan.chunkBytes+s.plan.changeBytes) + 200_000
	if s.maxQueuedBytes > queue {
		s.t.Fatalf("up to %d bytes waited on a link, %d are allowed: %+v", s.maxQueuedBytes, queue, s.plan)
	}
	// a window, and what was asked for again while chunks were late
	if window := int64((windowChunks + 3) * s.plan.chunkBytes); s.maxQueuedChunkBytes > window {
		s.t.Fatalf("up to %d bytes of a snapshot waited on a link, %d are allowed: %+v", s.maxQueuedChunkBytes, window, s.plan)
	}
	for int(s.lastChange) < s.plan.changes { // the changes that are left
		s.runUntil(s.now + 1000*millisecond)
	}
	s.runUntil(s.now + s.bound())
	primary := s.find(s.view.Primary)
	for number := range s.acknowledged {
		if !primary.machine.held[number] {
			s.t.Fatalf("change %d was acknowledged and is lost: %+v", number, s.plan)
		}
	}
	if len(s.acknowledged) < s.plan.changes*9/10-50 {
		s.t.Fatalf("only %d of %d changes were acknowledged: %+v", len(s.acknowledged), s.plan.changes, s.plan)
	}
	for _, node := range s.nodes {
		if fmt.Sprint(node.machine.applied) != fmt.Sprint(primary.machine.applied) {
			s.t.Fatalf("replica %d holds %d changes, the primary %d: %+v", node.id, len(node.machine.applied), len(primary.machine.applied), s.plan)
		}
	}
}

func catchupSeeds() int {
	if n, err := strconv.Atoi(os.Getenv(catchupSeedsVariable)); err == nil {
		return n
	}
	return defaultCatchupSeeds
}

// Every replica is in sync within the bound after the last fault, nothing acknowledged is lost, no primary begins with an old
// state, and memory and queues stay bounded. TIER_CATCHUP_SEEDS sets how many seeds.
func TestReplicasCatchUpAfterHundredsOfChanges(t *testing.T) {
	for seed := range int64(catchupSeeds()) {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newCatchupSim(t, seed)
			took, bound := s.run()
			if testing.Verbose() {
				t.Logf("%-28s %5d changes, in sync after %6d ms, bound %6d ms, log in memory up to %7d bytes",
					s.plan.fault, s.plan.changes, took/millisecond, bound/millisecond, s.maxLogBytes)
			}
		})
	}
}

// Under 20 configurations of 100 KB a second, a replica that was away for 15 s, or is empty, is in sync again while the changes go on:
// after the waits, and the state and the log over what the changes leave of the link. A window of chunks a round trip bounds the
// transfer besides.
func TestAReplicaCatchesUpUnderTwentyConfigurationsASecond(t *testing.T) {
	for _, test := range []struct {
		fault string
		link  int64 // bytes a second
		delay int64 // one way
		state int
	}{
		{"down", 12_500_000, millisecond / 2, 1 << 20},
		{"down", 12_500_000, millisecond / 2, 8 << 20},
		{"wiped", 12_500_000, millisecond / 2, 8 << 20},
		{"wiped", 5_000_000, millisecond / 2, 8 << 20},
		{"wiped", 12_500_000, 10 * millisecond, 8 << 20},
		{"restarted often", 12_500_000, millisecond / 2, 8 << 20},
		{"cut off often", 12_500_000, millisecond / 2, 8 << 20},
	} {
		t.Run(fmt.Sprintf("%s,%dMB/s,%dus,%dMB", test.fault, test.link/1_000_000, test.delay, test.state>>20), func(t *testing.T) {
			t.Parallel()
			s := newPlannedSim(t, rand.New(rand.NewSource(1)), catchupPlan{
				changes: 1200, changeBytes: 100_000, interval: 50 * millisecond, padding: test.state, retainedBytes: 8 << 20,
				chunkBytes: DefaultSnapshotChunkBytes, slowLink: test.link, link: 4 * test.link, delay: test.delay, sync: 5 * millisecond,
				fault: test.fault, upFor: 700 * millisecond,
			})
			took, bound := s.run()
			t.Logf("in sync after %d ms, bound %d ms, log in memory up to %.1f MB", took/millisecond, bound/millisecond, float64(s.maxLogBytes)/(1<<20))
		})
	}
}
