package replica

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/consensus"
)

// The simulation plays one group on a network and disks that lose, delay and repeat, under a view authority that behaves as
// control does: it replaces primaries, drops silent replicas down to a floor and admits those that caught up.

const (
	simNodes    = 3
	simTolerate = 1
	simSteps    = 1500
)

// journalMachine keeps the commands that were applied.
type journalMachine struct{ applied []string }

func (m *journalMachine) Apply(_ uint64, command []byte) any {
	m.applied = append(m.applied, string(command))
	return len(m.applied)
}

func (m *journalMachine) Snapshot() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(m.applied)))
	for _, command := range m.applied {
		e.String(command)
	}
	return e.Bytes
}

func (m *journalMachine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	m.applied = nil
	for range d.Count(4) {
		m.applied = append(m.applied, d.String())
	}
	return d.Err()
}

// simDisk is what a loss of power leaves.
type simDisk struct {
	base    Snapshot
	entries []Entry
}

func (d *simDisk) write(w Write) {
	if w.Snapshot != nil {
		d.base = *w.Snapshot
		d.entries = nil
	}
	for _, entry := range w.Entries {
		if entry.Index <= d.base.Index {
			continue
		}
		d.entries = append(d.entries[:entry.Index-d.base.Index-1:entry.Index-d.base.Index-1], entry)
	}
}

type simNode struct {
	id          uint64
	incarnation uint64
	up          bool
	frozen      int
	group       *Group
	machine     *journalMachine
	disk        simDisk
	writes      []Write
	waiting     map[uint64]string // commands taken as primary, by index
	viewEpoch   uint64            // epoch of the newest view delivered
	slots       *TransferSlots
}

type envelope struct {
	from, to uint64
	message  Message
}

type sim struct {
	t                  testing.TB
	random             *rand.Rand
	now                int64
	nodes              []*simNode
	network            []envelope
	view               View
	primaryIncarnation uint64 // of the view's primary
	nextID             uint64
	lastCommand        int
	acknowledged       map[string]bool
}

func newSim(t testing.TB, seed int64) *sim {
	s := &sim{t: t, random: rand.New(rand.NewSource(seed)), now: 1000, acknowledged: map[string]bool{}, nextID: 1}
	for range simNodes {
		node := &simNode{}
		s.nodes = append(s.nodes, node)
		s.wipe(node)
		s.start(node)
		s.view.InSync = append(s.view.InSync, node.id)
	}
	s.view.Epoch = 1
	s.view.Primary = s.view.InSync[0]
	s.view.Replicas = append([]uint64(nil), s.view.InSync...)
	s.view.MinInSync = MinInSync(simTolerate, simNodes)
	s.primaryIncarnation = s.nodes[0].incarnation
	return s
}

func (s *sim) wipe(node *simNode) {
	node.id = s.nextID
	s.nextID++
	node.disk = simDisk{}
}

func (s *sim) start(node *simNode) {
	node.machine = &journalMachine{}
	node.writes = nil
	node.waiting = map[uint64]string{}
	node.viewEpoch = 0
	node.incarnation = s.random.Uint64()
	node.up = true
	node.frozen = 0
	node.slots = NewTransferSlots(1)
	group, err := NewGroup(node.id, node.machine, node.disk.base, append([]Entry(nil), node.disk.entries...), Options{EagerCommit: true, RetainedEntries: 6, SnapshotChunkBytes: 400, TransferSlots: node.slots})
	if err != nil {
		s.t.Fatal(err)
	}
	node.group = group
}

func (s *sim) find(id uint64) *simNode {
	for _, node := range s.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// carryOut takes a node's output.
func (s *sim) carryOut(node *simNode) {
	output := node.group.TakeOutput()
	if output.SteppedDown {
		node.waiting = map[uint64]string{}
	}
	node.writes = append(node.writes, output.Writes...)
	for _, out := range output.Messages {
		if s.random.Intn(20) == 0 {
			continue
		}
		s.network = append(s.network, envelope{node.id, out.To, out.Message})
		if s.random.Intn(20) == 0 {
			s.network = append(s.network, envelope{node.id, out.To, out.Message})
		}
	}
	for _, applied := range output.Applied {
		if command, waits := node.waiting[applied.Index]; waits {
			if command != string(applied.Command) {
				s.t.Fatalf("index %d was answered for %q and holds %q", applied.Index, command, applied.Command)
			}
			s.acknowledged[command] = true
			delete(node.waiting, applied.Index)
		}
	}
	node.group.Trim()
}

func (s *sim) countUnavailable() int {
	count := 0
	for _, node := range s.nodes {
		if !node.up || node.frozen > 0 {
			count++
		}
	}
	return count
}

// step does one thing drawn by chance.
func (s *sim) step(faults bool) {
	s.now += int64(s.random.Intn(12))
	node := s.nodes[s.random.Intn(len(s.nodes))]
	switch s.random.Intn(12) {
	case 0, 1, 2, 3, 4:
		s.deliver()
	case 5, 6:
		s.sync(node)
	case 7:
		for range 1 + s.random.Intn(3) {
			s.propose()
		}
	case 8:
		s.tick(node)
	case 9:
		s.deliverView(node)
	case 10:
		s.changeView()
	case 11:
		if faults {
			s.injectFault(node)
		}
	}
	s.thaw()
}

// tick lets a node's time go on, unless it is frozen.
func (s *sim) tick(node *simNode) {
	if node.up && node.frozen == 0 {
		node.group.Tick(s.now, true)
		s.carryOut(node)
	}
}

// thaw brings the end of each freeze one step nearer.
func (s *sim) thaw() {
	for _, node := range s.nodes {
		if node.frozen > 0 {
			node.frozen--
		}
	}
}

func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.Intn(min(len(s.network), 8))
	sent := s.network[i]
	s.network = append(s.network[:i:i], s.network[i+1:]...)
	node := s.find(sent.to)
	if node == nil || !node.up {
		return
	}
	if node.frozen > 0 {
		s.network = append(s.network, sent)
		return
	}
	node.group.Step(sent.from, sent.message, s.now)
	s.carryOut(node)
}

// sync makes a node's queued writes durable.
func (s *sim) sync(node *simNode) {
	if !node.up || node.frozen > 0 || len(node.writes) == 0 {
		return
	}
	writes := node.writes
	node.writes = nil
	for _, write := range writes {
		node.disk.write(write)
	}
	for _, write := range writes {
		node.group.WriteCompleted(write)
		if write.Snapshot != nil {
			node.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, s.now)
		}
		if n := len(write.Entries); n > 0 {
			node.group.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, s.now)
		}
	}
	s.carryOut(node)
}

func (s *sim) propose() {
	for _, node := range s.nodes {
		if !node.up || node.frozen > 0 || !node.group.IsReady() || s.random.Intn(2) == 0 {
			continue
		}
		s.lastCommand++
		command := fmt.Sprintf("c%d", s.lastCommand)
		node.waiting[node.group.Propose([]byte(command), s.now)] = command
		s.carryOut(node)
	}
}

// deliverView gives a node the authority's view, as the feed would, some time late.
func (s *sim) deliverView(node *simNode) {
	if !node.up || node.frozen > 0 || node.viewEpoch == s.view.Epoch {
		return
	}
	if s.view.Primary == node.id && s.primaryIncarnation != node.incarnation {
		return
	}
	node.viewEpoch = s.view.Epoch
	node.group.SetView(s.view, s.now)
	s.carryOut(node)
}

func (s *sim) alive(id uint64) bool {
	node := s.find(id)
	return node != nil && node.up && node.frozen == 0
}

// changeView changes the view as control would.
func (s *sim) changeView() {
	next := s.view
	next.InSync = s.remaining()
	var replicas []uint64
	for _, node := range s.nodes {
		replicas = append(replicas, node.id)
	}
	next.Replicas = replicas
	if s.replacesPrimary(next) {
		next.Primary = s.drawPrimary(next.InSync)
	}
	if next.Primary == 0 || len(next.InSync) == 0 {
		return
	}
	if s.differs(next) {
		s.setView(next)
		return
	}
	s.admitOrDrop()
}

// replacesPrimary tells whether a view's primary may not go on, or is replaced by chance.
func (s *sim) replacesPrimary(next View) bool {
	return !s.alive(next.Primary) || s.find(next.Primary).incarnation != s.primaryIncarnation || !next.IsInSync(next.Primary) || s.random.Intn(12) == 0
}

// drawPrimary draws one of the in-sync replicas that are alive, 0 if there is none.
func (s *sim) drawPrimary(inSync []uint64) uint64 {
	primary := uint64(0)
	for _, id := range inSync {
		if s.alive(id) && (primary == 0 || s.random.Intn(2) == 0) {
			primary = id
		}
	}
	return primary
}

// differs tells whether a view is another one than that in force.
func (s *sim) differs(next View) bool {
	if next.Primary != s.view.Primary || s.find(next.Primary).incarnation != s.primaryIncarnation {
		return true
	}
	return len(next.InSync) != len(s.view.InSync) || !slices.Equal(next.Replicas, s.view.Replicas)
}

func (s *sim) setView(next View) {
	next.Epoch = s.view.Epoch + 1
	s.view = next
	s.primaryIncarnation = s.find(next.Primary).incarnation
}

// remaining is the in-sync set without replicas whose disk is gone and, down to the floor, without dead ones.
func (s *sim) remaining() []uint64 {
	var known []uint64
	for _, id := range s.view.InSync {
		if s.find(id) != nil {
			known = append(known, id)
		}
	}
	rest := known
	for _, id := range known {
		if !s.alive(id) && len(rest) > simNodes-simTolerate {
			rest = consensus.Without(rest, id)
		}
	}
	return rest
}

// admitOrDrop asks the primary's replica what it wants, if the primary has the newest view.
func (s *sim) admitOrDrop() {
	node := s.find(s.view.Primary)
	if node == nil || node.group.View().Epoch != s.view.Epoch {
		return
	}
	if caughtUp := node.group.CaughtUp(s.now); len(caughtUp) > 0 {
		node.group.Admit(caughtUp[0])
		if !s.alive(caughtUp[0]) {
			return // refused: its session does not hold
		}
		next := s.view
		next.InSync = append(append([]uint64(nil), s.view.InSync...), caughtUp[0])
		s.setView(next)
		return
	}
	if silent := node.group.Unresponsive(s.now); len(silent) > 0 {
		if s.view.IsInSync(silent[0]) && len(s.view.InSync)-1 < simNodes-simTolerate {
			return
		}
		next := s.view
		next.InSync = consensus.Without(s.view.InSync, silent[0])
		s.setView(next)
	}
}

// injectFault strikes within what is tolerated: one machine at a time, and a disk only while the others hold everything.
func (s *sim) injectFault(node *simNode) {
	switch s.random.Intn(4) {
	case 0:
		if s.countUnavailable() == 0 {
			node.frozen = 20 + s.random.Intn(300)
		}
	case 1:
		s.crashOrStart(node)
	case 2:
		if s.countUnavailable() == 0 && node.up && s.othersInSync(node) {
			s.wipe(node)
			s.start(node)
		}
	case 3:
		if s.random.Intn(10) == 0 {
			s.losePower()
		}
	}
}

// crashOrStart starts a node that is down, and crashes one that is up if no other is unavailable.
func (s *sim) crashOrStart(node *simNode) {
	switch {
	case !node.up:
		s.start(node)
	case s.countUnavailable() == 0:
		s.crash(node)
	}
}

// losePower crashes and starts all nodes.
func (s *sim) losePower() {
	for _, node := range s.nodes {
		s.crash(node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
}

// crash ends a process; of the writes not synced some prefix may have reached the disk.
func (s *sim) crash(node *simNode) {
	if !node.up {
		return
	}
	for _, write := range node.writes[:s.random.Intn(len(node.writes)+1)] {
		node.disk.write(write)
	}
	node.up = false
}

// othersInSync tells whether as many replicas as must survive a lost disk are in sync without this node.
func (s *sim) othersInSync(node *simNode) bool {
	held := 0
	for _, id := range s.view.InSync {
		if id != node.id && s.find(id) != nil {
			held++
		}
	}
	return held >= simNodes-simTolerate
}

// healAndWait heals everything and plays until all replicas have applied all.
func (s *sim) healAndWait() {
	for _, node := range s.nodes {
		if !node.up {
			s.start(node)
		}
		node.frozen = 0
	}
	for range 60000 {
		s.step(false)
		if s.allCaughtUp() {
			return
		}
	}
	s.t.Fatalf("the group did not settle: view %+v", s.view)
}

func (s *sim) allCaughtUp() bool {
	if len(s.view.InSync) < simNodes || len(s.acknowledged) == 0 {
		return false
	}
	for _, node := range s.nodes {
		if !s.view.IsInSync(node.id) || node.group.View().Epoch != s.view.Epoch || node.group.AppliedIndex() != node.group.LastIndex() || len(node.writes) > 0 {
			return false
		}
	}
	return true
}

// verify checks that nothing acknowledged is missing and that all replicas applied the same commands.
func (s *sim) verify() {
	primary := s.find(s.view.Primary)
	held := map[string]bool{}
	for _, command := range primary.machine.applied {
		if held[command] {
			s.t.Fatalf("%s was applied twice", command)
		}
		held[command] = true
	}
	for command := range s.acknowledged {
		if !held[command] {
			s.t.Fatalf("%s was acknowledged and is lost", command)
		}
	}
	for _, node := range s.nodes {
		n := min(len(node.machine.applied), len(primary.machine.applied))
		for i := range n {
			if node.machine.applied[i] != primary.machine.applied[i] {
				s.t.Fatalf("replicas differ at %d: %s and %s", i, node.machine.applied[i], primary.machine.applied[i])
			}
		}
	}
}

const (
	seedsVariable = "TIER_SEEDS"
	defaultSeeds  = 300
)

func seeds() int {
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		return n
	}
	return defaultSeeds
}

// Nothing acknowledged is lost and replicas never differ, over seeds of loss, delay, repetition, crashes, lost disks, freezes and
// changes of the primary. TIER_SEEDS sets how many.
func TestGroupKeepsWhatItAcknowledged(t *testing.T) {
	acked := 0
	for seed := range int64(seeds()) {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			s := newSim(t, seed)
			for range simSteps {
				s.step(true)
			}
			s.healAndWait()
			s.verify()
			acked += len(s.acknowledged)
		})
		if t.Failed() {
			return
		}
	}
	if acked < seeds() {
		t.Fatalf("only %d commands were acknowledged over all seeds", acked)
	}
}
