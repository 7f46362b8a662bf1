package multigroup

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/replica"
	"otterseam/tier/storage"
)

// writeRetryPause is the pause before a write that failed is tried again.
const writeRetryPause = 100 * time.Millisecond

// pendingWrite is a write of a group, or the note that the group is no longer held.
type pendingWrite struct {
	group   *openGroup
	write   replica.Write
	dropped bool
}

// writer makes durable what groups have queued. Its goroutine, Node.writeLoop, alone touches the journal.
type writer struct {
	journal *storage.Journal
	log     *logrus.Entry
	wake    chan struct{}

	// mu is the node's, which guards what follows: all that groups ask for while it is held goes into one commit.
	mu      *sync.Mutex
	queue   []pendingWrite
	monitor DiskMonitor
}

// enqueue queues a write; the lock is held.
func (w *writer) enqueue(pending pendingWrite) { w.queue = append(w.queue, pending) }

// wakeUp has the goroutine look at the queue.
func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// begin takes all that is queued.
func (w *writer) begin() []pendingWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue
	w.queue = nil
	if len(queue) > 0 {
		w.monitor.BeginWrite(Now())
	}
	return queue
}

func (w *writer) isDegraded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Degraded(Now())
}

// append makes records durable, however often it has to be tried. It reports false when the context has ended before.
func (w *writer) append(ctx context.Context, records []storage.Record) bool {
	for {
		err := w.journal.Append(records)
		if err == nil {
			return true
		}
		w.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Error("journal write failed; nothing is acknowledged")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetryPause):
		}
	}
}

// DiskDegraded tells whether this process's disk holds up what it leads, so that others should.
func (n *Node) DiskDegraded() bool { return n.writer.isDegraded() }

func (n *Node) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.writer.wake:
		}
		for n.writeOnce(ctx) {
		}
	}
}

// writeOnce makes all that is queued durable in one commit. It reports whether there was anything.
func (n *Node) writeOnce(ctx context.Context) bool {
	queue := n.writer.begin()
	if len(queue) == 0 {
		return false
	}
	if !n.writer.append(ctx, recordsOf(queue)) {
		return false
	}
	n.reportDurable(queue)
	if n.writer.journal.NeedsCompaction() {
		n.compactJournal()
	}
	return true
}

// reportDurable reports writes that have reached the disk to their groups, and carries out what follows.
func (n *Node) reportDurable(queue []pendingWrite) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := Now()
	n.writer.monitor.EndWrite(now)
	touched := map[*openGroup]bool{}
	for _, pending := range queue {
		group := pending.group.replica
		group.WriteCompleted(pending.write)
		if snapshot := pending.write.Snapshot; snapshot != nil {
			group.MarkDurable(snapshot.Index, snapshot.Epoch, now)
		}
		if count := len(pending.write.Entries); count > 0 {
			last := pending.write.Entries[count-1]
			group.MarkDurable(last.Index, last.Epoch, now)
		}
		touched[pending.group] = true
	}
	for group := range touched {
		n.carryOut(group)
	}
}

// compactJournal replaces the journal by the present state of all groups. The lock is taken for one group at a time: what a group
// takes in meanwhile is queued and written behind.
func (n *Node) compactJournal() {
	var records []storage.Record
	for _, id := range n.heldGroups() {
		records = append(records, n.stateRecords(id)...)
	}
	if err := n.writer.journal.Compact(records); err != nil {
		n.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("journal could not be written anew; the old one stays")
	}
}

// heldGroups lists the groups that are open or on disk.
func (n *Node) heldGroups() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := slices.Collect(maps.Keys(n.groups))
	return append(ids, slices.Collect(maps.Keys(n.unopened))...)
}

// stateRecords is the present state of a group; nothing if it was dropped.
func (n *Node) stateRecords(id uint32) []storage.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	if group := n.groups[id]; group != nil {
		snapshot, entries := group.replica.CompactionState()
		records := []storage.Record{snapshotRecord(id, snapshot)}
		for _, entry := range entries {
			records = append(records, entryRecord(id, entry))
		}
		return records
	}
	if log := n.unopened[id]; log != nil {
		snapshot := storage.Record{
			Kind: storage.RecordSnapshot, Group: id, Index: log.SnapshotIndex, Epoch: log.SnapshotEpoch, Data: log.Snapshot,
		}
		return append([]storage.Record{snapshot}, log.Entries...)
	}
	return nil
}

func recordsOf(queue []pendingWrite) []storage.Record {
	var records []storage.Record
	for _, pending := range queue {
		if pending.dropped {
			records = append(records, storage.Record{Kind: storage.RecordDrop, Group: pending.group.id})
		}
		if snapshot := pending.write.Snapshot; snapshot != nil {
			records = append(records, snapshotRecord(pending.group.id, *snapshot))
		}
		for _, entry := range pending.write.Entries {
			records = append(records, entryRecord(pending.group.id, entry))
		}
	}
	return records
}

func snapshotRecord(group uint32, s replica.Snapshot) storage.Record {
	return storage.Record{Kind: storage.RecordSnapshot, Group: group, Index: s.Index, Epoch: s.Epoch, Data: s.State}
}

func entryRecord(group uint32, e replica.Entry) storage.Record {
	return storage.Record{Kind: storage.RecordEntry, Group: group, Index: e.Index, Epoch: e.Epoch, Data: e.Data}
}
