package replica

// uncommittedSlack is how many bytes of uncommitted entries a primary may hold in addition to RetainedBytes before it accepts no
// more commands.
const uncommittedSlack = 4 << 20

// truncationTrigger is the threshold for the next truncation of the log in memory: a number of applied entries or their size.
type truncationTrigger struct {
	entries uint64
	bytes   int
}

// HasCapacity reports whether a primary may accept a command. The size of the uncommitted entries is bounded, whatever delays
// their commit.
func (g *Group) HasCapacity() bool {
	return g.log.bytes-g.commit.appliedBytes < g.options.RetainedBytes+uncommittedSlack
}

// Trim discards applied entries beyond the bounds from memory. Replicas that lag further are sent a snapshot. The log is only
// examined if it has grown by a part of its bounds since the last time.
func (g *Group) Trim() {
	if g.commit.applied-g.log.base.index < g.truncation.entries && g.commit.appliedBytes < g.truncation.bytes {
		return
	}
	if index := g.truncationIndex(); index > g.log.base.index {
		g.log.discardUpTo(index)
		g.commit.appliedBytes = g.log.bytesBetween(index, g.commit.applied)
	}
	g.truncation.entries = g.commit.applied - g.log.base.index + g.options.RetainedEntries
	g.truncation.bytes = g.commit.appliedBytes + g.options.RetainedBytes/4
}

// truncationIndex returns the index up to which entries are discarded. It cancels a transfer if the entries after its snapshot
// exceed their bound.
func (g *Group) truncationIndex() uint64 {
	base := g.log.base.index
	index := base
	if g.commit.applied > base+g.options.RetainedEntries {
		index = g.commit.applied - g.options.RetainedEntries
	}
	if g.primary == nil {
		return max(g.oldestIndexWithin(index, g.options.RetainedBytes), base)
	}
	for _, peer := range g.primary.peers {
		if peer.match > 0 {
			index = min(index, max(peer.match, base))
		}
	}
	index = g.oldestIndexWithin(index, g.options.RetainedBytes)
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

// oldestIndexWithin returns the lowest index, but not below from, after which the applied entries take at most the given number of
// bytes.
func (g *Group) oldestIndexWithin(from uint64, bytes int) uint64 {
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
