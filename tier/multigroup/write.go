package multigroup

import (
	"context"
	"maps"
	"slices"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/replica"
	"otterseam/tier/storage"
)

// This file owns what goes to the disk: commits of all that groups have queued, and the journal written anew.

func (h *Node) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		for h.writeOnce(ctx) {
		}
	}
}

// writeOnce makes all that is queued durable in one commit.
func (h *Node) writeOnce(ctx context.Context) bool {
	h.mu.Lock()
	queue := h.queue
	h.queue = nil
	if len(queue) > 0 {
		h.disk.BeginWrite(Now())
	}
	h.mu.Unlock()
	if len(queue) == 0 {
		return false
	}
	records := recordsOf(queue)
	for {
		err := h.journal.Append(records)
		if err == nil {
			break
		}
		h.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Error("journal write failed; nothing is acknowledged")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetry):
		}
	}
	h.reportDurable(queue)
	if h.journal.NeedsCompaction() {
		h.rewrite()
	}
	return true
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

func (h *Node) reportDurable(queue []pendingWrite) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := Now()
	h.disk.EndWrite(now)
	touched := map[*hosted]bool{}
	for _, pending := range queue {
		pending.group.group.WriteCompleted(pending.write)
		if snapshot := pending.write.Snapshot; snapshot != nil {
			pending.group.group.MarkDurable(snapshot.Index, snapshot.Epoch, now)
		}
		if n := len(pending.write.Entries); n > 0 {
			last := pending.write.Entries[n-1]
			pending.group.group.MarkDurable(last.Index, last.Epoch, now)
		}
		touched[pending.group] = true
	}
	for g := range touched {
		h.carryOut(g)
	}
}

// DiskDegraded tells whether this process's disk holds up what it leads, so that others should.
func (h *Node) DiskDegraded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disk.Degraded(Now())
}

// rewrite replaces the journal by the present state of all groups. The lock is taken for one group at a time: what a group takes
// in meanwhile is queued and written behind.
func (h *Node) rewrite() {
	var records []storage.Record
	for _, id := range h.heldGroups() {
		records = append(records, h.stateRecords(id)...)
	}
	if err := h.journal.Compact(records); err != nil {
		h.log.WithField("code", uint16(codes.DiskWrite)).WithError(err).Warn("journal could not be written anew; the old one stays")
	}
}

// heldGroups lists the groups that are open or on disk.
func (h *Node) heldGroups() []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := slices.Collect(maps.Keys(h.groups))
	return append(ids, slices.Collect(maps.Keys(h.found))...)
}

// stateRecords is the present state of a group; nothing if it was dropped.
func (h *Node) stateRecords(id uint32) []storage.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[id]; g != nil {
		snapshot, entries := g.group.CompactionState()
		records := []storage.Record{snapshotRecord(id, snapshot)}
		for _, entry := range entries {
			records = append(records, entryRecord(id, entry))
		}
		return records
	}
	if log := h.found[id]; log != nil {
		snapshot := storage.Record{
			Kind: storage.RecordSnapshot, Group: id, Index: log.SnapshotIndex, Epoch: log.SnapshotEpoch, Data: log.Snapshot,
		}
		return append([]storage.Record{snapshot}, log.Entries...)
	}
	return nil
}
