package faultsim

import "otterseam/tier/replica"

const (
	slowDiskOdds            = 20 // one write in so many takes long
	diskBytesPerMillisecond = 100_000
)

var (
	writeDelays     = delays{2, 8}
	slowWriteDelays = delays{30, 200}
)

// disk is what a loss of power leaves of a replica.
type disk struct {
	snapshot replica.Snapshot
	entries  []replica.Entry
}

// write stores a snapshot, entries or both. Entries replace those from their first index on.
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

// replaceDisk gives a machine an empty disk, and with it another identity.
func (n *node) replaceDisk() {
	if !n.sim.bugs.KeepIdentity || n.identity == 0 {
		n.sim.lastIdentity++
		n.identity = n.sim.lastIdentity
	}
	n.disk = disk{}
	n.diskCreatedAt = n.sim.now()
}

// loseDisk ends the process and takes the disk away; it starts again on an empty one.
func (n *node) loseDisk(down int64) {
	n.crash()
	n.replaceDisk()
	n.onDiskLost()
	n.sim.after(down, n.start)
}

// startWrite makes all that is queued durable after the time that a disk needs.
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

// diskDelay is how long a disk takes; now and then one is slow.
func (s *simulation) diskDelay() int64 {
	if s.oneIn(slowDiskOdds) {
		return s.draw(slowWriteDelays)
	}
	return s.draw(writeDelays)
}

// reportDurable tells the replica what has reached the disk.
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
