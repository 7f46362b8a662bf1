package replica

// commitState is how far the log is committed and applied.
type commitState struct {
	committed    uint64 // index of the last entry known to be committed
	applied      uint64 // index of the last entry that the state machine has seen
	appliedBytes int    // size of the applied entries in memory
}

// WriteCompleted reports that a write that was asked for has been carried out, whatever became of its entries since.
func (g *Group) WriteCompleted(write Write) { g.log.unwrittenBytes -= sizeOf(write.Entries) }

// MarkDurable reports that all writes up to an entry have reached the disk. Entries overwritten since don't count.
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

// advanceCommit commits what every replica that counts has on disk, if the in-sync set has as many replicas as the view demands.
// A replica that is being admitted counts only as one more to wait for until a view has it in sync: before, it may not lead, so
// it is no replica to rely upon.
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

// lowestMatch is up to where all replicas hold the log on disk for which a commit has to wait.
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
		if peer.catchUp.holdsCommits {
			lowest = min(lowest, peer.match)
		}
	}
	return lowest
}

// sendCommitIndex sends a heartbeat with the new commit index to backups that are sent everything already.
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

// CompactionState returns the state for a durable snapshot and the entries behind it.
func (g *Group) CompactionState() (Snapshot, []Entry) {
	epoch, _ := g.log.epochAt(g.commit.applied)
	snapshot := Snapshot{Index: g.commit.applied, Epoch: epoch, State: g.machine.Snapshot()}
	return snapshot, g.log.behind(g.commit.applied)
}
