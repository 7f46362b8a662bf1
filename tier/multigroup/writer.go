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

// writeRetryPause is the pause before a failed write is retried.
const writeRetryPause = 100 * time.Millisecond

// pendingWrite is a queued write of a group, or the record that the group was dropped.
type pendingWrite struct {
	group   *openGroup
	write   replica.Write
	dropped bool
}

// writer makes queued writes durable. While it runs, only its goroutine, Node.writeLoop, uses the journal.
type writer struct {
	journal *storage.Journal
	log     *logrus.Entry
	wake    chan struct{}

	// mu is Node.mu. It guards the fields below. All writes that are queued while it is held go into the same commit.
	mu      *sync.Mutex
	queue   []pendingWrite
	bytes   int // size of the entries in the queue and in the commit that is being written
	monitor DiskMonitor
}

// maxUnwrittenBytes is the size of the entries of all groups that wait to be written above which replicas accept no more.
const maxUnwrittenBytes = 16 << 20

// isBehind reports whether too many bytes wait to be written. The caller holds mu.
func (w *writer) isBehind() bool { return w.bytes > maxUnwrittenBytes }

// size returns the size of the data that is written.
func (p pendingWrite) size() int {
	total := 0
	for _, entry := range p.write.Entries {
		total += len(entry.Data)
	}
	return total
}

// enqueue adds a write to the queue. The caller holds mu.
func (w *writer) enqueue(pending pendingWrite) {
	w.queue = append(w.queue, pending)
	w.bytes += pending.size()
}

// wakeUp wakes the writer's goroutine to process the queue.
func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// begin removes all writes from the queue and returns them.
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

// append makes records durable, with retries after errors. It returns false if the context is cancelled first.
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

// DiskDegraded reports whether this process's disk is too slow for the groups of which it is primary, so that others should lead
// them.
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

// writeOnce makes all queued writes durable in one commit. It returns false if the queue was empty or the context was cancelled.
func (n *Node) writeOnce(ctx context.Context) bool {
	queue := n.writer.begin()
	if len(queue) == 0 {
		return false
	}
	if !n.writer.append(ctx, journalRecords(queue)) {
		return false
	}
	n.reportDurable(queue)
	if n.writer.journal.NeedsCompaction() {
		n.compactJournal()
	}
	return true
}

// reportDurable reports durable writes to their groups and processes the groups' output.
func (n *Node) reportDurable(queue []pendingWrite) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := Now()
	n.writer.monitor.EndWrite(now)
	touched := map[*openGroup]bool{}
	for _, pending := range queue {
		n.writer.bytes -= pending.size()
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
		n.processOutput(group)
	}
}

// compactJournal replaces the journal by the current state of all groups. It locks the node for one group at a time. Writes of a
// group that arrive in the meantime are queued and written after the checkpoint.
func (n *Node) compactJournal() {
	var records []storage.Record
	for _, id := range n.allGroups() {
		records = append(records, n.stateRecords(id)...)
	}
	if err := n.writer.journal.Compact(records); err != nil {
		n.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("journal compaction failed; the old segments are kept")
	}
}

// allGroups returns the IDs of all groups that are open or found on disk.
func (n *Node) allGroups() []uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	ids := slices.Collect(maps.Keys(n.groups))
	return append(ids, slices.Collect(maps.Keys(n.unopened))...)
}

// stateRecords returns the current state of a group as records, or nil if the group was dropped.
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

func journalRecords(queue []pendingWrite) []storage.Record {
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
