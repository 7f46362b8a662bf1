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

// The simulation runs one group on a network that loses, delays, reorders and duplicates messages and on disks that lose unsynced
// writes. It changes views as the control processes do: it replaces primaries, removes silent replicas from the in-sync set down to
// a minimum, and admits replicas that caught up.

const (
	simNodes           = 3
	simToleratedLosses = 1
	simSteps           = 1500
)

// historyMachine is a state machine whose state is the list of applied commands.
type historyMachine struct{ applied []string }

func (m *historyMachine) Apply(_ uint64, command []byte) any {
	m.applied = append(m.applied, string(command))
	return len(m.applied)
}

func (m *historyMachine) Snapshot() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(m.applied)))
	for _, command := range m.applied {
		e.String(command)
	}
	return e.Bytes
}

func (m *historyMachine) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	m.applied = nil
	for range d.Count(4) {
		m.applied = append(m.applied, d.String())
	}
	return d.Err()
}

// simDisk is the durable content of a disk.
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
	machine     *historyMachine
	disk        simDisk
	writes      []Write
	pending     map[uint64]string // commands proposed as primary and not yet applied, by index
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
	primaryIncarnation uint64 // incarnation of the view's primary
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
	s.view.MinInSync = MinInSync(simToleratedLosses, simNodes)
	s.primaryIncarnation = s.nodes[0].incarnation
	return s
}

func (s *sim) wipe(node *simNode) {
	node.id = s.nextID
	s.nextID++
	node.disk = simDisk{}
}

func (s *sim) start(node *simNode) {
	node.machine = &historyMachine{}
	node.writes = nil
	node.pending = map[uint64]string{}
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

// handleOutput processes the output of a node's group. Messages may be lost or duplicated.
func (s *sim) handleOutput(node *simNode) {
	output := node.group.TakeOutput()
	if output.SteppedDown {
		node.pending = map[uint64]string{}
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
		if command, isPending := node.pending[applied.Index]; isPending {
			if command != string(applied.Command) {
				s.t.Fatalf("index %d: %q was proposed, but %q was applied", applied.Index, command, applied.Command)
			}
			s.acknowledged[command] = true
			delete(node.pending, applied.Index)
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

// step performs one random action.
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
	s.advanceFreezes()
}

// tick calls Tick on a node's group unless the node is down or frozen.
func (s *sim) tick(node *simNode) {
	if node.up && node.frozen == 0 {
		node.group.Tick(s.now, true)
		s.handleOutput(node)
	}
}

// advanceFreezes counts down the remaining steps of each frozen node.
func (s *sim) advanceFreezes() {
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
	s.handleOutput(node)
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
	s.handleOutput(node)
}

func (s *sim) propose() {
	for _, node := range s.nodes {
		if !node.up || node.frozen > 0 || !node.group.IsReady() || s.random.Intn(2) == 0 {
			continue
		}
		s.lastCommand++
		command := fmt.Sprintf("c%d", s.lastCommand)
		node.pending[node.group.Propose([]byte(command), s.now)] = command
		s.handleOutput(node)
	}
}

// deliverView delivers the current view to a node. As with the feed, that may happen long after the view was decided.
func (s *sim) deliverView(node *simNode) {
	if !node.up || node.frozen > 0 || node.viewEpoch == s.view.Epoch {
		return
	}
	if s.view.Primary == node.id && s.primaryIncarnation != node.incarnation {
		return
	}
	node.viewEpoch = s.view.Epoch
	node.group.SetView(s.view, s.now)
	s.handleOutput(node)
}

func (s *sim) alive(id uint64) bool {
	node := s.find(id)
	return node != nil && node.up && node.frozen == 0
}

// changeView changes the view as the control processes would.
func (s *sim) changeView() {
	next := s.view
	next.InSync = s.remainingInSync()
	var replicas []uint64
	for _, node := range s.nodes {
		replicas = append(replicas, node.id)
	}
	next.Replicas = replicas
	if s.replacesPrimary(next) {
		next.Primary = s.pickPrimary(next.InSync)
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

// replacesPrimary reports whether a view's primary can't continue or is to be replaced at random.
func (s *sim) replacesPrimary(next View) bool {
	return !s.alive(next.Primary) || s.find(next.Primary).incarnation != s.primaryIncarnation || !next.IsInSync(next.Primary) || s.random.Intn(12) == 0
}

// pickPrimary returns a random in-sync replica that is alive, or 0 if there is none.
func (s *sim) pickPrimary(inSync []uint64) uint64 {
	primary := uint64(0)
	for _, id := range inSync {
		if s.alive(id) && (primary == 0 || s.random.Intn(2) == 0) {
			primary = id
		}
	}
	return primary
}

// differs reports whether a view differs from the current one.
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

// remainingInSync returns the in-sync set without the replicas whose disk was lost. It also removes replicas that are not alive, down
// to the minimum size.
func (s *sim) remainingInSync() []uint64 {
	var known []uint64
	for _, id := range s.view.InSync {
		if s.find(id) != nil {
			known = append(known, id)
		}
	}
	rest := known
	for _, id := range known {
		if !s.alive(id) && len(rest) > simNodes-simToleratedLosses {
			rest = consensus.Without(rest, id)
		}
	}
	return rest
}

// admitOrDrop changes the in-sync set as the primary proposes, if the primary has the newest view.
func (s *sim) admitOrDrop() {
	node := s.find(s.view.Primary)
	if node == nil || node.group.View().Epoch != s.view.Epoch {
		return
	}
	if caughtUp := node.group.CaughtUp(s.now); len(caughtUp) > 0 {
		node.group.Admit(caughtUp[0])
		if !s.alive(caughtUp[0]) {
			return // rejected: its session has expired
		}
		next := s.view
		next.InSync = append(append([]uint64(nil), s.view.InSync...), caughtUp[0])
		s.setView(next)
		return
	}
	if silent := node.group.Unresponsive(s.now); len(silent) > 0 {
		if s.view.IsInSync(silent[0]) && len(s.view.InSync)-1 < simNodes-simToleratedLosses {
			return
		}
		next := s.view
		next.InSync = consensus.Without(s.view.InSync, silent[0])
		s.setView(next)
	}
}

// injectFault injects a random fault that the group tolerates: one unavailable machine at a time, a power loss of all machines, and
// the loss of a disk only while enough other replicas are in sync.
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

// crash stops a process. A random prefix of its unsynced writes reaches the disk.
func (s *sim) crash(node *simNode) {
	if !node.up {
		return
	}
	for _, write := range node.writes[:s.random.Intn(len(node.writes)+1)] {
		node.disk.write(write)
	}
	node.up = false
}

// othersInSync reports whether enough replicas without this node are in sync for its disk to be lost.
func (s *sim) othersInSync(node *simNode) bool {
	others := 0
	for _, id := range s.view.InSync {
		if id != node.id && s.find(id) != nil {
			others++
		}
	}
	return others >= simNodes-simToleratedLosses
}

// healAndWait ends all faults and runs the simulation until all replicas have applied all entries.
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
	s.t.Fatalf("not all replicas caught up: view %+v", s.view)
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

// verify checks that no acknowledged command is lost and that all replicas applied the same commands.
func (s *sim) verify() {
	primary := s.find(s.view.Primary)
	appliedByPrimary := map[string]bool{}
	for _, command := range primary.machine.applied {
		if appliedByPrimary[command] {
			s.t.Fatalf("%s was applied twice", command)
		}
		appliedByPrimary[command] = true
	}
	for command := range s.acknowledged {
		if !appliedByPrimary[command] {
			s.t.Fatalf("%s was acknowledged but is lost", command)
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

// No acknowledged command is lost and the replicas' states never diverge, under message loss, delay and duplication, crashes, lost
// disks, frozen processes and changes of the primary. TIER_SEEDS sets the number of seeds.
func TestGroupKeepsAcknowledgedCommands(t *testing.T) {
	acknowledgedTotal := 0
	for seed := range int64(seeds()) {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			s := newSim(t, seed)
			for range simSteps {
				s.step(true)
			}
			s.healAndWait()
			s.verify()
			acknowledgedTotal += len(s.acknowledged)
		})
		if t.Failed() {
			return
		}
	}
	if acknowledgedTotal < seeds() {
		t.Fatalf("only %d commands were acknowledged over all seeds", acknowledgedTotal)
	}
}
