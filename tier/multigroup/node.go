package multigroup

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/storage"
)

const (
	tickInterval = 40 * time.Millisecond
	// maxTransfers is how many snapshots a process sends at once, regardless of the number of its groups.
	maxTransfers = 2
)

// Names of the folders in the data folder.
const (
	valuesFolder  = "values"
	journalFolder = "journal"
)

// Node runs the replicas of a process. It is safe for concurrent use.
type Node struct {
	// Identity is the ID of this node, generated when its disk was empty. It must not be changed.
	Identity uint64
	// Values are the named values on the node's disk. Callers may store their own values there.
	Values *storage.Values

	log        *logrus.Entry
	heartbeats bool
	disk       *diskIdentity
	writer     *writer
	slots      *replica.TransferSlots

	// mu guards the fields below and the queue of the writer.
	mu        sync.Mutex
	groups    map[uint32]*openGroup
	unopened  map[uint32]*storage.GroupLog // groups found on disk that are not open yet
	transport transport
}

// openGroup is this node's replica of a group, with its pending proposals. Node.mu guards it.
type openGroup struct {
	id        uint32
	replica   *replica.Group
	proposals pendingProposals
}

// Open reads the data folder and returns a node with its state. If the folder holds no identity, a new one is generated: the process
// is then a new node, regardless of its address. With heartbeats, primaries send messages to their backups even when idle, so that
// backups detect the failure of a primary.
func Open(dir string, clients *rpc.Clients, log *logrus.Entry, heartbeats bool) (*Node, error) {
	values, err := storage.OpenValues(filepath.Join(dir, valuesFolder))
	if err != nil {
		return nil, oops.Wrapf(err, "data_dir")
	}
	journal, records, err := storage.OpenJournal(filepath.Join(dir, journalFolder))
	if err != nil {
		return nil, oops.Wrapf(err, "journal")
	}
	n := &Node{
		Values:     values,
		log:        log,
		heartbeats: heartbeats,
		slots:      replica.NewTransferSlots(maxTransfers),
		groups:     map[uint32]*openGroup{},
		unopened:   storage.FoldRecords(records),
		transport:  transport{clients: clients, addresses: map[uint64]string{}},
	}
	n.writer = &writer{journal: journal, log: log, wake: make(chan struct{}, 1), mu: &n.mu}
	if n.Identity, err = loadOrCreateIdentity(values); err != nil {
		return nil, err
	}
	if n.disk, err = openDiskIdentity(values, log); err != nil {
		return nil, err
	}
	return n, nil
}

// Run runs the writer and ticks the groups until the context is cancelled. It returns when both have stopped.
func (n *Node) Run(ctx context.Context) {
	var writing sync.WaitGroup
	writing.Go(func() { n.writeLoop(ctx) })
	writing.Go(func() { periodic.Run(ctx, saveKnownStartsInterval, n.disk.saveKnownStarts) })
	defer writing.Wait()
	periodic.Run(ctx, tickInterval, n.tick)
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := Now()
	for _, group := range n.groups {
		group.replica.Tick(now, n.heartbeats)
		n.processOutput(group)
	}
}

// Close closes the journal. Run must not be running. The files stay.
func (n *Node) Close() error { return n.writer.journal.Close() }

// UnopenedGroups returns the IDs of the groups found on disk that are not open yet.
func (n *Node) UnopenedGroups() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []uint32
	for id := range n.unopened {
		ids = append(ids, id)
	}
	return ids
}

// OpenGroup opens the replica of a group with its state on disk, if there is any. It does nothing if the group is open already.
func (n *Node) OpenGroup(id uint32, machine replica.StateMachine, options replica.Options) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.groups[id] != nil {
		return nil
	}
	options.TransferSlots = n.slots
	base, entries := n.takeUnopened(id)
	group, err := replica.NewGroup(n.Identity, machine, base, entries, options)
	if err != nil {
		return oops.Wrapf(err, "group %d", id)
	}
	n.groups[id] = &openGroup{id: id, replica: group, proposals: pendingProposals{}}
	return nil
}

// takeUnopened removes the state of a group from unopened and returns it.
func (n *Node) takeUnopened(id uint32) (replica.Snapshot, []replica.Entry) {
	log := n.unopened[id]
	if log == nil {
		return replica.Snapshot{}, nil
	}
	delete(n.unopened, id)
	var entries []replica.Entry
	for _, record := range log.Entries {
		entries = append(entries, replica.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data})
	}
	return replica.Snapshot{Index: log.SnapshotIndex, Epoch: log.SnapshotEpoch, State: log.Snapshot}, entries
}

// DropGroup closes a group's replica, fails its pending proposals and queues the removal of its state from disk.
func (n *Node) DropGroup(id uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := n.groups[id]
	if group == nil {
		return
	}
	group.proposals.failAll()
	group.replica.Close()
	delete(n.groups, id)
	n.writer.enqueue(pendingWrite{group: group, dropped: true})
	n.writer.wakeUp()
}

// HasGroup reports whether a replica of the group is open.
func (n *Node) HasGroup(id uint32) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[id] != nil
}

// WithGroup calls a function on a group under the lock and processes the group's output. It returns false if the group is not open.
func (n *Node) WithGroup(id uint32, fn func(*replica.Group)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := n.groups[id]
	if group == nil {
		return false
	}
	fn(group.replica)
	n.processOutput(group)
	return true
}

// UnappliedBytes returns the size of the log entries of all groups that are not applied yet.
func (n *Node) UnappliedBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, group := range n.groups {
		total += group.replica.UnappliedBytes()
	}
	return int64(total)
}

// SetView sets the view of a group.
func (n *Node) SetView(id uint32, view replica.View) {
	n.WithGroup(id, func(g *replica.Group) { g.SetView(view, Now()) })
}

// IsPrimary reports whether this node is the primary of the group and ready for commands.
func (n *Node) IsPrimary(id uint32) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := n.groups[id]
	return group != nil && group.replica.IsReady()
}

// Submit proposes a command, waits until it is committed and returns its result. On a NotPrimaryError the command was not proposed.
// On codes.Unavailable it was not proposed because too many commands wait to be committed. On codes.Timeout it may or may not be
// committed.
func (n *Node) Submit(ctx context.Context, id uint32, command []byte) (any, error) {
	n.mu.Lock()
	group := n.groups[id]
	if group == nil || !group.replica.IsReady() {
		err := notPrimary(id, group)
		n.mu.Unlock()
		return nil, err
	}
	if !group.replica.HasCapacity() {
		n.mu.Unlock()
		return nil, codes.Unavailable
	}
	index := group.replica.Propose(command, Now())
	result := group.proposals.add(index)
	n.processOutput(group)
	n.mu.Unlock()
	select {
	case got, open := <-result:
		if !open {
			return nil, codes.Timeout
		}
		return got, nil
	case <-ctx.Done():
		n.mu.Lock()
		group.proposals.abandon(index)
		n.mu.Unlock()
		return nil, codes.Timeout
	}
}

// notPrimary returns the error for a group of which this node is not the primary. The caller holds Node.mu.
func notPrimary(id uint32, group *openGroup) error {
	err := &NotPrimaryError{Group: id}
	if group != nil {
		err.Primary = group.replica.View().Primary
	}
	return err
}

// processOutput takes the output of a group's replica: it queues the writes, sends the messages and resolves the proposals. The
// caller holds n.mu.
func (n *Node) processOutput(group *openGroup) {
	output := group.replica.TakeOutput()
	if output.SteppedDown {
		group.proposals.failAll()
	}
	for _, write := range output.Writes {
		n.writer.enqueue(pendingWrite{group: group, write: write})
	}
	if len(output.Writes) > 0 {
		n.writer.wakeUp()
	}
	for _, id := range output.Regressed {
		n.log.WithFields(logrus.Fields{"code": uint16(codes.DiskRegressed), "group": group.id, "member": id}).Error(
			"a member's log ends before entries that it acknowledged: an older copy of its disk was restored")
	}
	for _, err := range output.Unrestorable {
		n.log.WithError(err).WithFields(logrus.Fields{"code": uint16(codes.Malformed), "group": group.id, "index": err.Index}).Error(
			"a snapshot was rejected; this member cannot catch up")
	}
	for _, out := range output.Messages {
		n.sendMessage(group.id, out)
	}
	for _, applied := range output.Applied {
		group.proposals.resolve(applied.Index, applied.Result)
	}
	group.replica.Trim()
}
