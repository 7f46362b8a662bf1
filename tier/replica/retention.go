package replica

const (
	// standardEntriesKept is how many applied entries stay in memory for replicas that lag.
	standardEntriesKept = 128
	// standardBytesKept is how many bytes of applied entries stay in memory for replicas that lag.
	standardBytesKept = 256 << 10
	// entryOverhead is what an entry takes in memory beside its data.
	entryOverhead = 64
	// uncommittedSlack is how many bytes beyond BytesKept a primary may hold that are not committed before it takes no more.
	uncommittedSlack = 4 << 20
	// maxUnwritten is how many bytes of entries a backup takes that are not on its disk yet.
	maxUnwritten = 4 << 20
)

// size is what the entry takes in memory.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func sizeOf(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += entry.size()
	}
	return total
}

// extendLog appends entries to the log in memory.
func (g *Group) extendLog(entries ...Entry) {
	g.log = append(g.log, entries...)
	g.logBytes += sizeOf(entries)
}

// bytesBetween is the size of the entries behind one index up to another, as far as they are in memory.
func (g *Group) bytesBetween(after, upTo uint64) int {
	after = max(after, g.base.Index)
	upTo = min(upTo, g.lastIndex())
	if after >= upTo {
		return 0
	}
	return sizeOf(g.log[after-g.base.Index : upTo-g.base.Index])
}

// HasCapacity tells whether a primary may take a command: what is not committed yet is bounded, whoever keeps it from being so.
func (g *Group) HasCapacity() bool {
	return g.logBytes-g.appliedBytes < g.bytesKept+uncommittedSlack
}

// Trim forgets applied entries beyond the bounds. Replicas that lag further get a snapshot. The log is looked through only
// when it has grown by a part of its bounds since the last time.
func (g *Group) Trim() {
	if g.applied-g.base.Index < g.trimAtEntries && g.appliedBytes < g.trimAtBytes {
		return
	}
	if keepFrom := g.keepFrom(); keepFrom > g.base.Index {
		g.forgetUpTo(keepFrom)
	}
	g.trimAtEntries = g.applied - g.base.Index + g.entriesKept
	g.trimAtBytes = g.appliedBytes + g.bytesKept/4
}

// keepFrom is the index behind which entries stay in memory.
func (g *Group) keepFrom() uint64 {
	keepFrom := g.base.Index
	if g.applied > g.base.Index+g.entriesKept {
		keepFrom = g.applied - g.entriesKept
	}
	for _, peer := range g.peers {
		if peer.match > 0 {
			keepFrom = min(keepFrom, max(peer.match, g.base.Index))
		}
	}
	keepFrom = g.oldestWithin(keepFrom, g.bytesKept)
	for _, peer := range g.peers {
		if peer.transfer == nil {
			continue
		}
		index := peer.transfer.snapshot.index
		if g.bytesBetween(index, g.applied) > g.transferBytesKept(peer.transfer) {
			g.cancelTransfer(peer)
			continue
		}
		keepFrom = min(keepFrom, index)
	}
	return max(keepFrom, g.base.Index)
}

// oldestWithin is the lowest index, from a given one on, behind which the applied entries take no more than so many bytes.
func (g *Group) oldestWithin(from uint64, bytes int) uint64 {
	index := g.applied
	for index > from {
		bytes -= g.log[index-g.base.Index-1].size()
		if bytes < 0 {
			return index
		}
		index--
	}
	return index
}

// forgetUpTo drops the entries up to an applied one from memory.
func (g *Group) forgetUpTo(index uint64) {
	epoch, _ := g.epochAt(index)
	g.log = append([]Entry(nil), g.log[index-g.base.Index:]...)
	g.logBytes = sizeOf(g.log)
	g.appliedBytes = sizeOf(g.log[:g.applied-index])
	g.base = Snapshot{Index: index, Epoch: epoch}
}
