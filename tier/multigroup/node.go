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
	tickEvery = 40 * time.Millisecond
	// maxTransfers is how many snapshots a process sends at once, whatever the number of its groups.
	maxTransfers = 2
)

// The folders in the data folder.
const (
	valuesFolder  = "values"
	journalFolder = "journal"
)

// Node holds the replicas of a process. It may be used from several goroutines.
type Node struct {
	// Identity is the number of this node, drawn when its disk was empty. It is not to be changed.
	Identity uint64
	// Values are the single values on the node's disk. Callers may keep values of their own there.
	Values *storage.Values

	log        *logrus.Entry
	heartbeats bool
	disk       *diskIdentity
	writer     *writer
	slots      *replica.TransferSlots

	// mu guards what follows, and the queue of the writer.
	mu        sync.Mutex
	groups    map[uint32]*openGroup
	unopened  map[uint32]*storage.GroupLog // groups found on disk and not open yet
	transport transport
}

// openGroup is this node's replica of a group and those who wait for its commands. Node.mu guards it.
type openGroup struct {
	id        uint32
	replica   *replica.Group
	proposals pendingProposals
}

// Open reads the data folder. A process whose folder holds no identity draws one: it is a new node, whatever its address. With
// heartbeats, primaries send their backups something all the time, so that backups notice when they end.
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
	if n.Identity, err = nodeIdentity(values); err != nil {
		return nil, err
	}
	if n.disk, err = openDiskIdentity(values, log); err != nil {
		return nil, err
	}
	return n, nil
}

// Run writes and ticks until the context ends, and returns when both have stopped.
func (n *Node) Run(ctx context.Context) {
	var writing sync.WaitGroup
	writing.Go(func() { n.writeLoop(ctx) })
	writing.Go(func() { periodic.Run(ctx, saveKnownStartsEvery, n.disk.saveKnownStarts) })
	defer writing.Wait()
	periodic.Run(ctx, tickEvery, n.tick)
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := Now()
	for _, group := range n.groups {
		group.replica.Tick(now, n.heartbeats)
		n.carryOut(group)
	}
}

// Close closes the journal of a node that does not run, or no longer. What was written stays.
func (n *Node) Close() error { return n.writer.journal.Close() }

// UnopenedGroups lists the groups whose state is on disk and not yet open.
func (n *Node) UnopenedGroups() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []uint32
	for id := range n.unopened {
		ids = append(ids, id)
	}
	return ids
}

// OpenGroup makes the replica of a group from what is on disk. A group that is open stays as it is.
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

// takeUnopened returns what was found on disk of a group, and forgets it.
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

// DropGroup forgets a group's replica and its state on disk.
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

// HasGroup tells whether a replica of the group is open.
func (n *Node) HasGroup(id uint32) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[id] != nil
}

// WithGroup runs a function on a group under the lock and carries out what follows. It reports false for a group that is not
// open.
func (n *Node) WithGroup(id uint32, use func(*replica.Group)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := n.groups[id]
	if group == nil {
		return false
	}
	use(group.replica)
	n.carryOut(group)
	return true
}

// SetView gives a group its view.
func (n *Node) SetView(id uint32, view replica.View) {
	n.WithGroup(id, func(g *replica.Group) { g.SetView(view, Now()) })
}

// IsPrimary tells whether commands for the group are taken here.
func (n *Node) IsPrimary(id uint32) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	group := n.groups[id]
	return group != nil && group.replica.IsReady()
}

// Submit proposes a command and waits until it is committed. A NotPrimaryError says that it was not proposed; codes.Timeout that it
// may or may not be committed; codes.Unavailable that too much waits to be committed and nothing was proposed.
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
	n.carryOut(group)
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

// notPrimary is the error for a group that this node does not lead; the lock is held.
func notPrimary(id uint32, group *openGroup) error {
	err := &NotPrimaryError{Group: id}
	if group != nil {
		err.Primary = group.replica.View().Primary
	}
	return err
}

// carryOut does what a group's events ask for; the lock is held.
func (n *Node) carryOut(group *openGroup) {
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
			"a member's log ends before what it acknowledged: an older copy of its disk was put back")
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
