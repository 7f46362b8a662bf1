// Package replica replicates the commands of a state machine from a primary to its backups. A command counts as committed
// when every replica of the in-sync set has it on disk; nothing is decided by a majority of replicas. Who is primary and who is
// in sync is told from outside, as a View with an epoch, by whoever decides failover for the group. The package is pure:
// time, messages and finished writes go in; messages, writes and committed commands come out.
package replica

import "slices"

// View names the primary and the replicas of a group during one epoch.
type View struct {
	Epoch    uint64
	Primary  uint64
	InSync   []uint64
	Replicas []uint64 // all that are to hold the group, those in sync included
	// MinInSync is how many replicas have to be in sync for anything to be committed. An in-sync set below it, after a lost disk,
	// takes in another replica first. Its key in the status of a cluster is older than its name.
	MinInSync int `json:"MinCopies"`
	// Learners are the replicas that hold a copy without a vote, where the group's replicas vote.
	Learners []uint64
}

// Entry is one replicated command.
type Entry struct {
	Index uint64
	Epoch uint64 // of the primary that took it
	Data  []byte // empty for the entry that opens an epoch
}

// StateMachine is what the commands act on. Apply has to be deterministic.
type StateMachine interface {
	Apply(index uint64, command []byte) (result any)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Role is what a replica does at present.
type Role uint8

// The roles of a replica.
const (
	Backup Role = iota
	Primary
)

// Write is what has to be made durable, in order.
type Write struct {
	Snapshot *Snapshot // replaces everything before
	Entries  []Entry   // replace entries at or above the first one's index
}

// Snapshot is the state after an entry.
type Snapshot struct {
	Index uint64
	Epoch uint64
	State []byte
}

// Outgoing is a message for another replica.
type Outgoing struct {
	To      uint64
	Message Message
}

// Applied is a committed command with the state machine's result.
type Applied struct {
	Index   uint64
	Epoch   uint64
	Command []byte
	Result  any
}

// Output is what has to be done after an event.
type Output struct {
	Writes   []Write
	Messages []Outgoing
	Applied  []Applied
	// SteppedDown says that this replica is no longer primary: whether commands that it took will be committed is not known.
	SteppedDown bool
	// Regressed lists replicas whose log ends before what they acknowledged in this epoch, as after an older copy of a disk was
	// put back.
	Regressed []uint64
}

// progress is what a primary knows of one replica.
type progress struct {
	match    uint64    // durable there
	next     uint64    // the next entry to send
	probing  bool      // whether the logs have not been found alike yet
	inFlight int       // bytes of entries sent and not acknowledged
	transfer *transfer // a snapshot under way
	outgrown int       // transfers that the log outgrew, since the replica last held a snapshot
	retryAt  int64     // no transfer before
	resends  int       // of entries, without progress
	heardAt  int64
	sentAt   int64
	joining  bool // commands wait for it, so that it can catch up
	joinedAt int64
	beatAt   int64 // of the last heartbeat beside a transfer
}

// Group is one replica of a group.
type Group struct {
	self    uint64
	machine StateMachine
	view    View
	role    Role

	log           []Entry // entries behind the snapshot
	base          Snapshot
	durable       uint64
	commit        uint64
	applied       uint64
	peers         map[uint64]*progress
	admitting     map[uint64]bool // replicas asked into the in-sync set: commands wait for them already
	primaryHeard  int64
	openedEpochAt uint64 // index of the entry that opened this primary's epoch
	alike         uint64 // up to where a backup's log is known to be the primary's, in this epoch
	output        Output
	eagerCommit   bool
	entriesKept   uint64
	bytesKept     int
	unwritten     int // size of the entries in writes that were asked for and not reported as done
	pieceBytes    int
	logBytes      int    // size of the log in memory
	appliedBytes  int    // size of its applied entries
	trimAtEntries uint64 // the log is looked through for entries to forget when it has grown so far
	trimAtBytes   int
	slots         *TransferSlots
	incoming      *incomingSnapshot
	clock         int64 // of the newest event
	stepDownAfter int64
	contact       contact
}

// Options tune a group.
type Options struct {
	// EagerCommit has a primary tell backups of each commit at once, for groups whose backups serve reads of their own.
	EagerCommit bool
	// RetainedEntries is how many applied entries stay in memory for replicas that lag; 0 means a standard number. Replicas that
	// lag further get a snapshot.
	RetainedEntries uint64
	// RetainedBytes is how many bytes of applied entries stay in memory for replicas that lag; 0 means a standard number. It also
	// bounds what a primary holds that is not committed.
	RetainedBytes int
	// SnapshotChunkBytes is the size of one piece of a snapshot; 0 means a standard size.
	SnapshotChunkBytes int
	// TransferSlots bounds the snapshots sent at once together with other groups; nil means no bound.
	TransferSlots *TransferSlots
	// Incarnation is a number drawn for the present life of the process. With one, the group keeps contact: its primary can prove that
	// a majority answers it, and its backups that such a primary does.
	Incarnation uint64
	// StepDownAfter is how many milliseconds a primary leads on without the answers of a majority; 0 means for ever.
	StepDownAfter int64
}

// NewGroup makes a replica from what was found on disk: a snapshot and the entries behind it.
func NewGroup(self uint64, machine StateMachine, base Snapshot, entries []Entry, options Options) (*Group, error) {
	g := &Group{self: self, machine: machine, base: base, log: entries, eagerCommit: options.EagerCommit, entriesKept: options.RetainedEntries}
	g.bytesKept = options.RetainedBytes
	g.pieceBytes = options.SnapshotChunkBytes
	g.slots = options.TransferSlots
	g.contact.life = options.Incarnation
	g.stepDownAfter = options.StepDownAfter
	if g.entriesKept == 0 {
		g.entriesKept = standardEntriesKept
	}
	if g.pieceBytes == 0 {
		g.pieceBytes = standardPieceBytes
	}
	if g.bytesKept == 0 {
		g.bytesKept = standardBytesKept
	}
	g.logBytes = sizeOf(entries)
	g.trimAtEntries = 2 * g.entriesKept
	g.trimAtBytes = g.bytesKept
	if base.Index > 0 {
		if err := machine.Restore(base.State); err != nil {
			return nil, err
		}
	}
	g.base.State = nil
	g.applied = base.Index
	g.commit = base.Index
	g.durable = g.lastIndex()
	g.view.Epoch = g.lastEpoch()
	return g, nil
}

// View is the newest view known.
func (g *Group) View() View { return g.view }

// IsPrimary tells whether this replica takes commands.
func (g *Group) IsPrimary() bool { return g.role == Primary }

// IsReady tells whether this primary has committed the entry that opened its epoch, so that its state is complete.
func (g *Group) IsReady() bool { return g.role == Primary && g.applied >= g.openedEpochAt }

// EpochStartIndex is the entry that opened the newest epoch led here, and so names that lead.
func (g *Group) EpochStartIndex() uint64 { return g.openedEpochAt }

// AppliedIndex is the last entry that the state machine has seen.
func (g *Group) AppliedIndex() uint64 { return g.applied }

// LastIndex is the last entry of the log.
func (g *Group) LastIndex() uint64 { return g.lastIndex() }

// LastHeartbeat is when the primary was last heard, by the clock given to Step.
func (g *Group) LastHeartbeat() int64 { return g.primaryHeard }

func (g *Group) lastIndex() uint64 {
	if len(g.log) > 0 {
		return g.log[len(g.log)-1].Index
	}
	return g.base.Index
}

func (g *Group) lastEpoch() uint64 {
	if len(g.log) > 0 {
		return g.log[len(g.log)-1].Epoch
	}
	return g.base.Epoch
}

// epochAt returns the epoch of an entry, and whether it is known here.
func (g *Group) epochAt(index uint64) (uint64, bool) {
	if index == g.base.Index {
		return g.base.Epoch, true
	}
	if index < g.base.Index || index > g.lastIndex() {
		return 0, false
	}
	return g.log[index-g.base.Index-1].Epoch, true
}

// SetView takes a view. Older ones are ignored.
func (g *Group) SetView(view View, now int64) {
	if view.Epoch < g.view.Epoch || (view.Epoch == g.view.Epoch && g.view.Primary != 0) {
		return
	}
	if view.Primary == g.self && g.role != Primary && view.Epoch <= g.lastEpoch() {
		// this replica led the epoch before a restart and may have sent entries that it no longer knows
		return
	}
	wasPrimary := g.role == Primary
	g.view = view
	g.alike = 0
	clear(g.admitting)
	switch {
	case view.Primary != g.self:
		g.stepDown()
	case wasPrimary:
		g.updatePeers(now)
		g.advanceCommit()
	default:
		g.becomePrimary(now)
	}
}

func (g *Group) stepDown() {
	if g.role == Primary {
		g.output.SteppedDown = true
	}
	g.Close()
	g.role = Backup
	g.peers = nil
	g.admitting = nil
}

func (g *Group) becomePrimary(now int64) {
	g.role = Primary
	g.incoming = nil
	g.peers = map[uint64]*progress{}
	g.admitting = map[uint64]bool{}
	g.openedEpochAt = g.lastIndex() + 1
	g.updatePeers(now)
	g.beginContact(now)
	g.Propose(nil, now)
}

// updatePeers follows the replicas of the view.
func (g *Group) updatePeers(now int64) {
	for id, peer := range g.peers {
		if !slices.Contains(g.view.Replicas, id) {
			g.endTransfer(peer)
			delete(g.peers, id)
		}
	}
	for _, id := range g.view.Replicas {
		if id != g.self && g.peers[id] == nil {
			g.peers[id] = &progress{next: g.lastIndex() + 1, probing: true, heardAt: now}
		}
	}
}

// IsInSync tells whether a replica is in the in-sync set.
func (v View) IsInSync(id uint64) bool { return slices.Contains(v.InSync, id) }

// Propose appends a command and returns its index. Only a primary may be asked.
func (g *Group) Propose(command []byte, now int64) uint64 {
	entry := Entry{Index: g.lastIndex() + 1, Epoch: g.view.Epoch, Data: command}
	g.extendLog(entry)
	g.writeEntries([]Entry{entry})
	opensEpoch := entry.Index == g.openedEpochAt
	for _, id := range g.view.Replicas {
		peer := g.peers[id]
		if peer != nil && (opensEpoch || (!peer.probing && peer.transfer == nil)) {
			g.sendEntries(id, peer, now)
		}
	}
	return entry.Index
}

func (g *Group) writeEntries(entries []Entry) {
	g.unwritten += sizeOf(entries)
	writes := &g.output.Writes
	if n := len(*writes); n > 0 {
		last := &(*writes)[n-1]
		if len(last.Entries) > 0 && last.Entries[len(last.Entries)-1].Index+1 == entries[0].Index {
			last.Entries = append(last.Entries, entries...)
			return
		}
	}
	*writes = append(*writes, Write{Entries: append([]Entry(nil), entries...)})
}

// WriteCompleted tells that a write that was asked for has been carried out, whatever became of its entries since.
func (g *Group) WriteCompleted(write Write) { g.unwritten -= sizeOf(write.Entries) }

// MarkDurable tells that all writes up to an entry have reached the disk. Entries overwritten since don't count.
func (g *Group) MarkDurable(index, epoch uint64, now int64) {
	held, known := g.epochAt(index)
	if !known || held != epoch || index <= g.durable {
		return
	}
	g.durable = index
	if g.role == Primary {
		g.advanceCommit()
		return
	}
	g.acknowledge()
}

// acknowledge tells the primary what is durable here and known to be alike.
func (g *Group) acknowledge() {
	index := min(g.durable, g.alike)
	if g.view.Primary == 0 || g.view.Primary == g.self || index == 0 {
		return
	}
	g.send(g.view.Primary, Message{Kind: MessageAck, Epoch: g.view.Epoch, Index: index})
}

func (g *Group) send(to uint64, message Message) {
	g.output.Messages = append(g.output.Messages, Outgoing{To: to, Message: message})
}

// advanceCommit commits what every replica that counts has on disk, if the in-sync set has as many replicas as the view demands.
// A replica that is being taken in counts only once a view holds it: until then it may not lead, so it is no copy to rely upon.
func (g *Group) advanceCommit() {
	if !g.view.HasMinInSync() {
		return
	}
	lowest := g.durable
	for _, id := range g.view.InSync {
		if id != g.self {
			lowest = min(lowest, g.matchOf(id))
		}
	}
	for id := range g.admitting {
		lowest = min(lowest, g.matchOf(id))
	}
	for _, peer := range g.peers {
		if peer.joining {
			lowest = min(lowest, peer.match)
		}
	}
	if lowest <= g.commit {
		return
	}
	g.commit = lowest
	g.applyCommitted()
	if g.eagerCommit {
		for _, id := range g.view.Replicas {
			if peer := g.peers[id]; peer != nil && !peer.probing && peer.transfer == nil && peer.next > g.lastIndex() {
				g.sendEntries(id, peer, peer.sentAt)
			}
		}
	}
}

func (g *Group) matchOf(id uint64) uint64 {
	if peer := g.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

func (g *Group) applyCommitted() {
	for g.applied < g.commit {
		entry := g.log[g.applied-g.base.Index]
		g.applied++
		g.appliedBytes += entry.size()
		if len(entry.Data) == 0 {
			continue
		}
		result := g.machine.Apply(entry.Index, entry.Data)
		if g.role == Primary {
			g.output.Applied = append(g.output.Applied, Applied{Index: entry.Index, Epoch: entry.Epoch, Command: entry.Data, Result: result})
		}
	}
}

// TakeOutput returns what has to be done and forgets it.
func (g *Group) TakeOutput() Output {
	output := g.output
	g.output = Output{}
	return output
}

// CompactionState returns the state for a durable snapshot and the entries behind it.
func (g *Group) CompactionState() (Snapshot, []Entry) {
	epoch, _ := g.epochAt(g.applied)
	snapshot := Snapshot{Index: g.applied, Epoch: epoch, State: g.machine.Snapshot()}
	return snapshot, g.log[g.applied-g.base.Index:]
}
