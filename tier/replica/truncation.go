package replica

// uncommittedSlack is how many bytes beyond RetainedBytes a primary may hold that are not committed before it takes no more.
const uncommittedSlack = 4 << 20

// truncationTrigger is when the log is next looked through for entries to forget: when that many applied entries, or so many
// bytes of them, are in memory.
type truncationTrigger struct {
	entries uint64
	bytes   int
}

// HasCapacity tells whether a primary may take a command: what is not committed yet is bounded, whoever keeps it from being so.
func (g *Group) HasCapacity() bool {
	return g.log.bytes-g.commit.appliedBytes < g.options.RetainedBytes+uncommittedSlack
}

// Trim forgets applied entries beyond the bounds. Replicas that lag further get a snapshot. The log is looked through only
// when it has grown by a part of its bounds since the last time.
func (g *Group) Trim() {
	if g.commit.applied-g.log.base.index < g.truncation.entries && g.commit.appliedBytes < g.truncation.bytes {
		return
	}
	if index := g.truncationIndex(); index > g.log.base.index {
		g.log.forgetUpTo(index)
		g.commit.appliedBytes = g.log.bytesBetween(index, g.commit.applied)
	}
	g.truncation.entries = g.commit.applied - g.log.base.index + g.options.RetainedEntries
	g.truncation.bytes = g.commit.appliedBytes + g.options.RetainedBytes/4
}

// truncationIndex is the index behind which entries stay in memory. A transfer that the log has outgrown is cancelled.
func (g *Group) truncationIndex() uint64 {
	base := g.log.base.index
	index := base
	if g.commit.applied > base+g.options.RetainedEntries {
		index = g.commit.applied - g.options.RetainedEntries
	}
	if g.primary == nil {
		return max(g.oldestWithin(index, g.options.RetainedBytes), base)
	}
	for _, peer := range g.primary.peers {
		if peer.match > 0 {
			index = min(index, max(peer.match, base))
		}
	}
	index = g.oldestWithin(index, g.options.RetainedBytes)
	for _, peer := range g.primary.peers {
		if peer.transfer == nil {
			continue
		}
		snapshotIndex := peer.transfer.snapshot.index
		if g.log.bytesBetween(snapshotIndex, g.commit.applied) > g.retainedDuringTransfer(peer.transfer) {
			g.cancelTransfer(peer)
			continue
		}
		index = min(index, snapshotIndex)
	}
	return max(index, base)
}

// oldestWithin is the lowest index, from a given one on, behind which the applied entries take no more than so many bytes.
func (g *Group) oldestWithin(from uint64, bytes int) uint64 {
	index := g.commit.applied
	for index > from {
		bytes -= g.log.at(index).size()
		if bytes < 0 {
			return index
		}
		index--
	}
	return index
}
