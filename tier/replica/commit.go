package replica

// commitState tracks how far the log is committed and applied.
type commitState struct {
	committed    uint64 // index of the last entry known to be committed
	applied      uint64 // index of the last entry applied to the state machine
	appliedBytes int    // size of the applied entries in memory
}

// WriteCompleted records that a requested write has been performed, even if its entries have been overwritten since.
func (g *Group) WriteCompleted(write Write) { g.log.unwrittenBytes -= sizeOf(write.Entries) }

// MarkDurable records that all writes up to an entry are durable. It is ignored if the entry has been overwritten since.
func (g *Group) MarkDurable(index, epoch uint64, now int64) {
	logged, known := g.log.epochAt(index)
	if !known || logged != epoch || index <= g.log.durable {
		return
	}
	g.log.durable = index
	if g.primary != nil {
		g.advanceCommit()
		return
	}
	g.acknowledgeDurable()
}

// advanceCommit commits the entries that are durable at all replicas for which commits must wait, if the in-sync set has its
// minimum size. Commits wait for a replica that is being admitted, but it counts toward the minimum only once a view has it in
// sync: before that it can't become primary, so its copy doesn't protect the entry.
func (g *Group) advanceCommit() {
	if !g.view.HasMinInSync() {
		return
	}
	lowest := g.lowestMatch()
	if lowest <= g.commit.committed {
		return
	}
	g.commit.committed = lowest
	g.applyCommitted()
	if g.options.EagerCommit {
		g.sendCommitIndex()
	}
}

// lowestMatch returns the index up to which the log is durable at all replicas for which commits must wait.
func (g *Group) lowestMatch() uint64 {
	lowest := g.log.durable
	for _, id := range g.view.InSync {
		if id != g.self {
			lowest = min(lowest, g.matchOf(id))
		}
	}
	for id := range g.primary.admitting {
		lowest = min(lowest, g.matchOf(id))
	}
	for _, peer := range g.primary.peers {
		if peer.catchUp.delaysCommits {
			lowest = min(lowest, peer.match)
		}
	}
	return lowest
}

// sendCommitIndex sends a heartbeat with the new commit index to the backups that were already sent all entries.
func (g *Group) sendCommitIndex() {
	for _, id := range g.view.Replicas {
		peer := g.peer(id)
		if peer != nil && peer.replicates() && peer.next > g.log.lastIndex() {
			g.sendEntries(peer, peer.lastSent)
		}
	}
}

func (g *Group) applyCommitted() {
	for g.commit.applied < g.commit.committed {
		entry := g.log.at(g.commit.applied + 1)
		g.commit.applied++
		g.commit.appliedBytes += entry.size()
		if len(entry.Data) == 0 {
			continue
		}
		result := g.machine.Apply(entry.Index, entry.Data)
		if g.primary != nil {
			g.output.Applied = append(g.output.Applied, Applied{Index: entry.Index, Epoch: entry.Epoch, Command: entry.Data, Result: result})
		}
	}
}

// UnappliedBytes returns the size of the entries that are not applied yet.
func (g *Group) UnappliedBytes() int { return g.log.bytes - g.commit.appliedBytes }

// CompactionState returns a snapshot of the applied state and the entries after it, from which the log on disk can be rewritten.
func (g *Group) CompactionState() (Snapshot, []Entry) {
	epoch, _ := g.log.epochAt(g.commit.applied)
	snapshot := Snapshot{Index: g.commit.applied, Epoch: epoch, State: g.machine.Snapshot()}
	return snapshot, g.log.entriesAfter(g.commit.applied)
}
