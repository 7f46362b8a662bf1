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

// This simulation proposes hundreds to thousands of changes to a group whose replicas are stopped, wiped, disconnected or restarted
// repeatedly while they catch up. Time is virtual. Links have a bandwidth and a delay and keep the order of messages. Disks have a
// sync delay, and unsynced writes may be lost with the power.

const (
	catchupSeedsVariable = "TIER_CATCHUP_SEEDS"
	defaultCatchupSeeds  = 200

	millisecond      = int64(1000) // virtual time is in microseconds
	catchupNodes     = 3
	catchupMinInSync = 2 // minimum size of the in-sync set
	tickPeriod       = 40 * millisecond
	primaryLostAfter = 600 * millisecond
	controlPeriod    = 50 * millisecond
	// memoryCheckEvery is the number of scheduled events per check of the applied entries in memory, to keep the test fast.
	memoryCheckEvery = 5
)

// numberMachine is a state machine that keeps the numbers of the applied changes, and padding that stands for the rest of a state.
type numberMachine struct {
	applied    []uint32
	appliedSet map[uint32]bool
	padding    []byte
}

func newNumberMachine(padding int) *numberMachine {
	return &numberMachine{appliedSet: map[uint32]bool{}, padding: make([]byte, padding)}
}

func (m *numberMachine) Apply(_ uint64, command []byte) any {
	number := binary.BigEndian.Uint32(command)
	m.applied = append(m.applied, number)
	m.appliedSet[number] = true
	return nil
}

func (m *numberMachine) Snapshot() []byte {
	var e codec.Encoder
	e.Blob(m.padding)
	e.Uint32(uint32(len(m.applied)))
	for _, number := range m.applied {
		e.Uint32(number)
	}
	return e.Bytes
}

func (m *numberMachine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	m.padding = d.Blob()
	m.applied = nil
	m.appliedSet = map[uint32]bool{}
	for range d.Count(4) {
		number := d.Uint32()
		m.applied = append(m.applied, number)
		m.appliedSet[number] = true
	}
	return d.Err()
}

// catchupPlan holds the parameters of one simulation run.
type catchupPlan struct {
	changes       int
	changeBytes   int
	interval      int64 // time between changes
	padding       int   // size of the padding of the state
	retainedBytes int
	chunkBytes    int
	slowLink      int64 // bytes per second on the links of the faulty replica
	fastLink      int64 // bytes per second on the other links
	delay         int64
	syncDelay     int64 // duration of a disk sync
	fault         string
	uptime        int64 // time between restarts
}

var catchupFaults = []string{"down", "down for most changes", "wiped", "wiped twice", "restarted often", "disconnected often", "primary lost", "power lost", "primary lost in a transfer"}

func randomPlan(random *rand.Rand) catchupPlan {
	p := catchupPlan{
		changes:       500 + random.Intn(700),
		changeBytes:   200 + random.Intn(2000),
		interval:      (5 + random.Int63n(45)) * millisecond,
		padding:       random.Intn(200_000),
		retainedBytes: (8 + random.Intn(120)) << 10,
		chunkBytes:    (1 + random.Intn(16)) << 10,
		delay:         (100 + random.Int63n(5000)),
		syncDelay:     (1 + random.Int63n(8)) * millisecond,
		fault:         catchupFaults[random.Intn(len(catchupFaults))],
		uptime:        (50 + random.Int63n(1500)) * millisecond,
	}
	if random.Intn(20) == 0 {
		p.changes = 5000
		p.changeBytes = 200
		p.interval = (5 + random.Int63n(5)) * millisecond
	}
	// A link has at least twice the bandwidth that the changes need.
	rate := int64(p.changeBytes+200) * 1_000_000 / p.interval
	p.slowLink = 2*rate + 20_000 + random.Int63n(4*rate+200_000)
	p.fastLink = 4*p.slowLink + 1_000_000
	return p
}

type catchupNode struct {
	position    int
	id          uint64
	starts      int
	incarnation uint64
	up          bool
	group       *Group
	machine     *numberMachine
	slots       *TransferSlots
	disk        simDisk
	queued      []Write
	syncing     []Write
	viewEpoch   uint64
	ready       bool
	stoppedAt   int64
}

type catchupLink struct {
	freeAt           int64
	cut              bool
	connectionID     int   // number of the current connection
	queuedChunkBytes int64 // queued bytes of snapshot chunks
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
	pending             map[uint64]map[uint64]uint32 // proposed changes, by incarnation of the primary and index
	acknowledged        map[uint32]bool
	lastChange          uint32
	faultEndedAt        int64 // when the last fault ended
	inSyncAt            int64 // when all replicas were first in sync after the last fault
	faultEnded          bool
	maxLogBytes         int
	maxQueuedBytes      int64 // longest queue of a link, in bytes
	maxQueuedChunkBytes int64 // largest amount of queued snapshot chunks of a link, in bytes
}

func newCatchupSim(t testing.TB, seed int64) *catchupSim {
	random := rand.New(rand.NewSource(seed))
	return newPlannedSim(t, random, randomPlan(random))
}

func newPlannedSim(t testing.TB, random *rand.Rand, plan catchupPlan) *catchupSim {
	s := &catchupSim{
		t: t, random: random, plan: plan, now: 1000 * millisecond, nextID: 1,
		pending: map[uint64]map[uint64]uint32{}, acknowledged: map[uint32]bool{},
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

func (s *catchupSim) nowMillis() int64 { return s.now / millisecond }

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
	node.machine = newNumberMachine(s.plan.padding)
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
		node.group.Tick(s.nowMillis(), true)
		s.handleOutput(node)
		s.schedule(tickPeriod, tick)
	}
	s.schedule(s.random.Int63n(tickPeriod), tick)
}

// stop simulates a power loss of a node. A random prefix of its unsynced writes reaches the disk.
func (s *catchupSim) stop(node *catchupNode) {
	if !node.up {
		return
	}
	node.up = false
	node.stoppedAt = s.now
	pending := slices.Concat(node.syncing, node.queued)
	for _, write := range pending[:s.random.Intn(len(pending)+1)] {
		node.disk.write(write)
	}
	for other := range s.nodes {
		s.links[node.position][other].disconnect(s.now)
		s.links[other][node.position].disconnect(s.now)
	}
}

// disconnect ends the connection of a link. Messages queued on it are lost.
func (l *catchupLink) disconnect(now int64) {
	l.connectionID++
	l.freeAt = now
	l.queuedChunkBytes = 0
}

func (s *catchupSim) bandwidth(from, to int) int64 {
	if from == catchupNodes-1 || to == catchupNodes-1 {
		return s.plan.slowLink
	}
	return s.plan.fastLink
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
	connection := link.connectionID
	s.schedule(link.freeAt-s.now, func() {
		if link.connectionID == connection {
			link.queuedChunkBytes -= chunk
		}
	})
	message := out.Message
	sender := from.id
	s.schedule(link.freeAt-s.now+s.plan.delay, func() {
		if link.connectionID != connection || !to.up || to.id != out.To {
			return
		}
		to.group.Step(sender, message, s.nowMillis())
		s.handleOutput(to)
	})
}

func (s *catchupSim) handleOutput(node *catchupNode) {
	output := node.group.TakeOutput()
	if output.SteppedDown {
		delete(s.pending, node.incarnation)
	}
	node.queued = append(node.queued, output.Writes...)
	s.sync(node)
	for _, out := range output.Messages {
		s.send(node, out)
	}
	for _, applied := range output.Applied {
		if number, isPending := s.pending[node.incarnation][applied.Index]; isPending {
			s.acknowledged[number] = true
			delete(s.pending[node.incarnation], applied.Index)
		}
	}
	node.group.Trim()
	s.checkMemory(node)
	s.checkLeadership(node)
}

// checkMemory checks the size of the applied entries in memory against its bound: the retained entries and, on a primary, those
// kept after the snapshot of a transfer.
func (s *catchupSim) checkMemory(node *catchupNode) {
	state := s.plan.padding + 8 + 4*len(node.machine.applied)
	bound := s.plan.retainedBytes*5/4 + 2*(s.plan.changeBytes+entryOverhead)
	if node.group.IsPrimary() {
		bound += s.plan.retainedBytes + 2*state // after the snapshot of a transfer
	}
	s.maxLogBytes = max(s.maxLogBytes, node.group.log.bytes)
	if s.order%memoryCheckEvery != 0 {
		return
	}
	if applied := node.group.log.bytesBetween(node.group.log.base.index, node.group.commit.applied); applied > bound {
		s.t.Fatalf("%d bytes of applied entries in memory, %d are allowed: %+v", applied, bound, s.plan)
	}
}

// checkLeadership checks that a primary that becomes ready has all acknowledged changes.
func (s *catchupSim) checkLeadership(node *catchupNode) {
	ready := node.group.IsReady()
	if ready && !node.ready {
		for number := range s.acknowledged {
			if !node.machine.appliedSet[number] {
				s.t.Fatalf("the primary of epoch %d lacks change %d: %+v", node.group.View().Epoch, number, s.plan)
			}
		}
	}
	node.ready = ready
}

// sync makes the queued writes durable after the disk's sync delay. Writes queued meanwhile wait for the next sync.
func (s *catchupSim) sync(node *catchupNode) {
	if len(node.syncing) > 0 || len(node.queued) == 0 {
		return
	}
	node.syncing, node.queued = node.queued, nil
	starts := node.starts
	s.schedule(s.plan.syncDelay, func() {
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
				node.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, s.nowMillis())
			}
			if n := len(write.Entries); n > 0 {
				node.group.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, s.nowMillis())
			}
		}
		if s.random.Intn(50) == 0 {
			s.compact(node)
		}
		s.handleOutput(node)
	})
}

// compact rewrites the disk with a snapshot and the entries after it.
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
		if s.pending[node.incarnation] == nil {
			s.pending[node.incarnation] = map[uint64]uint32{}
		}
		s.pending[node.incarnation][node.group.Propose(command, s.nowMillis())] = s.lastChange
		s.handleOutput(node)
		return
	}
}

// runControl periodically updates the view and delivers it, as the control processes do for a group.
func (s *catchupSim) runControl() {
	s.schedule(controlPeriod, s.runControl)
	s.adjustView()
	for _, node := range s.nodes {
		if !node.up || node.viewEpoch == s.view.Epoch || (s.view.Primary == node.id && s.primaryIncarnation != node.incarnation) {
			continue
		}
		node.viewEpoch = s.view.Epoch
		node.group.SetView(s.view, s.nowMillis())
		s.handleOutput(node)
	}
	if s.faultEnded && s.inSyncAt == 0 && s.allInSync() {
		s.inSyncAt = s.now
	}
}

func (s *catchupSim) alive(id uint64) bool {
	node := s.find(id)
	return node != nil && (node.up || s.now-node.stoppedAt < primaryLostAfter)
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
	if caughtUp := primary.group.CaughtUp(s.nowMillis()); len(caughtUp) > 0 {
		primary.group.Admit(caughtUp[0])
		next := s.view
		next.InSync = append(append([]uint64(nil), s.view.InSync...), caughtUp[0])
		s.setView(next)
		return
	}
	for _, id := range primary.group.Unresponsive(s.nowMillis()) {
		if len(s.view.InSync) > catchupMinInSync || !s.view.IsInSync(id) {
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

// runUntil runs all events up to a time.
func (s *catchupSim) runUntil(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, until)
}

func (s *catchupSim) backup() *catchupNode { return s.nodes[catchupNodes-1] }

// safeToLose reports whether enough other replicas are up and in sync for a node's disk to be lost.
func (s *catchupSim) safeToLose(node *catchupNode) bool {
	up := 0
	for _, id := range s.view.InSync {
		if other := s.find(id); other != nil && other.up && other != node {
			up++
		}
	}
	return up >= catchupMinInSync
}

// injectFault runs the fault of the plan, mostly on the last node, and returns after it has ended.
func (s *catchupSim) injectFault() {
	node := s.backup()
	length := s.plan.interval * int64(s.plan.changes) / 4
	switch s.plan.fault {
	case "down":
		s.stopFor(node, length)
	case "down for most changes":
		s.stopFor(node, length*7/2)
	case "wiped":
		s.loseDisk(node, length)
	case "wiped twice":
		s.loseDisk(node, length)
		s.runUntil(s.now + length/2)
		s.loseDisk(node, length/8)
	case "restarted often":
		s.restartOften(node, length)
	case "disconnected often":
		s.disconnectOften(node, length)
	case "primary lost":
		s.loseDisk(node, length)
		s.stopFor(s.find(s.view.Primary), length/2)
	case "primary lost in a transfer":
		s.loseDisk(node, length)
		s.runUntil(s.now + s.plan.uptime/4)
		s.stopFor(s.find(s.view.Primary), 2000*millisecond)
	case "power lost":
		s.stop(node)
		s.runUntil(s.now + length)
		s.losePower()
	}
}

// stopFor stops a node for a time and starts it again.
func (s *catchupSim) stopFor(node *catchupNode, downtime int64) {
	s.stop(node)
	s.runUntil(s.now + downtime)
	s.start(node)
}

// restartOften stops a node for a time and then restarts it repeatedly.
func (s *catchupSim) restartOften(node *catchupNode, downtime int64) {
	s.stop(node)
	s.runUntil(s.now + downtime)
	for range 8 {
		s.start(node)
		s.runUntil(s.now + s.plan.uptime)
		s.stop(node)
		s.runUntil(s.now + 100*millisecond)
	}
	s.start(node)
}

// disconnectOften loses a node's disk and cuts its links repeatedly while it catches up.
func (s *catchupSim) disconnectOften(node *catchupNode, downtime int64) {
	s.loseDisk(node, downtime)
	for range 8 {
		s.runUntil(s.now + s.plan.uptime)
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

func (s *catchupSim) loseDisk(node *catchupNode, downtime int64) {
	if !s.safeToLose(node) {
		return
	}
	s.stop(node)
	s.wipe(node)
	s.runUntil(s.now + downtime)
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

// bound returns the maximum time that a replica may need to be in sync again. It is the sum of the time for its heartbeats, for a
// failover and for its admission, the delays of transfers (resent chunks, and the backoff after the log outgrew a transfer), and
// the time to send the state and the log over the bandwidth that the changes leave. A link has at least twice the bandwidth that
// the changes need.
func (s *catchupSim) bound() int64 {
	state := int64(s.plan.padding + 16 + 4*s.plan.changes)
	log := int64(2*s.plan.retainedBytes) + 2*state + uncommittedSlack/8
	spareBandwidth := s.plan.slowLink / 2
	waits := int64(primaryLostAfter/millisecond+2*chunkResendAfter+2*transferBackoffFirst+1000) * millisecond
	return waits + 20*s.plan.syncDelay + (2*state+log)*1_000_000/spareBandwidth
}

// run runs the plan. It returns the time from the end of the fault until all replicas were in sync, and its bound.
func (s *catchupSim) run() (took, bound int64) {
	s.schedule(0, s.runControl)
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
	maxQueue := int64(maxInFlight+2*maxAppendBytes) + int64(2*windowChunks*s.plan.chunkBytes+s.plan.changeBytes) + 200_000
	if s.maxQueuedBytes > maxQueue {
		s.t.Fatalf("up to %d bytes were queued on a link, %d are allowed: %+v", s.maxQueuedBytes, maxQueue, s.plan)
	}
	// A window of chunks, and the chunks resent while others were late.
	if maxChunks := int64((windowChunks + 3) * s.plan.chunkBytes); s.maxQueuedChunkBytes > maxChunks {
		s.t.Fatalf("up to %d bytes of a snapshot were queued on a link, %d are allowed: %+v", s.maxQueuedChunkBytes, maxChunks, s.plan)
	}
	for int(s.lastChange) < s.plan.changes { // the remaining changes
		s.runUntil(s.now + 1000*millisecond)
	}
	s.runUntil(s.now + s.bound())
	primary := s.find(s.view.Primary)
	for number := range s.acknowledged {
		if !primary.machine.appliedSet[number] {
			s.t.Fatalf("change %d was acknowledged but is lost: %+v", number, s.plan)
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

// Every replica is in sync within the bound after the last fault, no acknowledged change is lost, no primary becomes ready with an
// old state, and memory and queues stay bounded. TIER_CATCHUP_SEEDS sets the number of seeds.
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

// Under 20 changes of 100 KB per second, a replica that was down for 15 s, or that is empty, is in sync again within the bound while
// the changes continue. One window of chunks per round trip also limits the speed of the transfer.
func TestReplicaCatchesUpUnderTwentyChangesPerSecond(t *testing.T) {
	for _, test := range []struct {
		fault string
		link  int64 // bytes per second
		delay int64 // one way
		state int
	}{
		{"down", 12_500_000, millisecond / 2, 1 << 20},
		{"down", 12_500_000, millisecond / 2, 8 << 20},
		{"wiped", 12_500_000, millisecond / 2, 8 << 20},
		{"wiped", 5_000_000, millisecond / 2, 8 << 20},
		{"wiped", 12_500_000, 10 * millisecond, 8 << 20},
		{"restarted often", 12_500_000, millisecond / 2, 8 << 20},
		{"disconnected often", 12_500_000, millisecond / 2, 8 << 20},
	} {
		t.Run(fmt.Sprintf("%s,%dMB/s,%dus,%dMB", test.fault, test.link/1_000_000, test.delay, test.state>>20), func(t *testing.T) {
			t.Parallel()
			s := newPlannedSim(t, rand.New(rand.NewSource(1)), catchupPlan{
				changes: 1200, changeBytes: 100_000, interval: 50 * millisecond, padding: test.state, retainedBytes: 8 << 20,
				chunkBytes: DefaultSnapshotChunkBytes, slowLink: test.link, fastLink: 4 * test.link, delay: test.delay, syncDelay: 5 * millisecond,
				fault: test.fault, uptime: 700 * millisecond,
			})
			took, bound := s.run()
			t.Logf("in sync after %d ms, bound %d ms, log in memory up to %.1f MB", took/millisecond, bound/millisecond, float64(s.maxLogBytes)/(1<<20))
		})
	}
}
