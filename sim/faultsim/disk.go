package faultsim

import "otterseam/tier/replica"

const (
	slowDiskOdds            = 20 // one in this many writes is slow
	diskBytesPerMillisecond = 100_000
)

var (
	writeDelays     = delays{2, 8}
	slowWriteDelays = delays{30, 200}
)

// disk is the state of a replica that survives a power loss.
type disk struct {
	snapshot replica.Snapshot
	entries  []replica.Entry
}

// write stores a snapshot, entries or both. Entries replace the stored ones from their first index on.
func (d *disk) write(w replica.Write) {
	if w.Snapshot != nil {
		d.snapshot = *w.Snapshot
		d.entries = nil
	}
	for _, entry := range w.Entries {
		if entry.Index <= d.snapshot.Index {
			continue
		}
		keep := entry.Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep], entry)
	}
}

// replaceDisk gives a machine an empty disk, which has a new identity.
func (n *node) replaceDisk() {
	if !n.sim.bugs.KeepIdentity || n.identity == 0 {
		n.sim.lastIdentity++
		n.identity = n.sim.lastIdentity
	}
	n.disk = disk{}
	n.diskCreatedAt = n.sim.now()
}

// loseDisk ends the process and replaces its disk by an empty one. The process starts again after the downtime.
func (n *node) loseDisk(downtime int64) {
	n.crash()
	n.replaceDisk()
	n.onDiskLost()
	n.sim.after(downtime, n.start)
}

// startWrite writes all queued writes to the disk, and reports them as durable once the disk's latency has passed. It does nothing
// while an earlier write is in progress.
func (n *node) startWrite() {
	if n.writing || len(n.unwritten) == 0 {
		return
	}
	n.writing = true
	count := len(n.unwritten)
	if n.sim.bugs.EarlyDurable {
		n.reportDurable(n.unwritten)
	}
	bytes := 0
	for _, write := range n.unwritten {
		if write.Snapshot != nil {
			bytes += len(write.Snapshot.State)
		}
	}
	group := n.group
	n.afterIfRunning(n.sim.diskDelay()+int64(bytes/diskBytesPerMillisecond), func() {
		if n.group != group {
			return
		}
		done := n.unwritten[:count]
		n.unwritten = append([]replica.Write(nil), n.unwritten[count:]...)
		n.writing = false
		for _, write := range done {
			n.disk.write(write)
		}
		n.reportDurable(done)
		n.handleOutput()
	})
}

// diskDelay returns the latency of a write. One in slowDiskOdds writes is slow.
func (s *simulation) diskDelay() int64 {
	if s.oneIn(slowDiskOdds) {
		return s.draw(slowWriteDelays)
	}
	return s.draw(writeDelays)
}

// reportDurable reports to the replica which writes are durable.
func (n *node) reportDurable(writes []replica.Write) {
	for _, write := range writes {
		if write.Snapshot != nil {
			n.group.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, n.sim.now())
		}
		if last := len(write.Entries) - 1; last >= 0 {
			n.group.MarkDurable(write.Entries[last].Index, write.Entries[last].Epoch, n.sim.now())
		}
	}
}
