package replica

// StateMachine is the replicated state machine. Apply must be deterministic.
type StateMachine interface {
	// Apply executes a command and returns its result, which is passed to the proposer.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the state after all applied commands.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Write is a write to make durable. Writes must be performed in order.
type Write struct {
	Snapshot *Snapshot // if set, replaces everything written before
	Entries  []Entry   // replace the entries at or above the first one's index
}

// Outgoing is a message to send to another replica.
type Outgoing struct {
	To      uint64
	Message Message
}

// Applied is a committed command with the state machine's result.
type Applied struct {
	Index   uint64
	Epoch   uint64
	Command []byte
	Result  any
}

// Output is the work for the owner after an event.
type Output struct {
	Writes   []Write
	Messages []Outgoing
	Applied  []Applied
	// SteppedDown reports that this replica is no longer primary. It is unknown whether its pending commands will be committed.
	SteppedDown bool
	// Regressed lists replicas whose log ends before an entry that they acknowledged in this epoch, for example because an older
	// copy of their disk was restored.
	Regressed []uint64
	// Unrestorable lists snapshots that were received in full but that the state machine could not restore.
	Unrestorable []*RestoreError
}

// Group is one replica of a group.
type Group struct {
	self    uint64
	options Options // with defaults filled in
	machine StateMachine
	view    View
	clock   int64 // time of the newest event, in milliseconds

	log        entryLog
	commit     commitState
	truncation truncationTrigger
	primary    *primaryState // nil while this replica is a backup
	backup     backupState
	vote       acceptedVote
	epochStart uint64 // index of the entry that opened the newest epoch in which this replica was primary
	output     Output
}

// NewGroup returns a replica with the state found on disk: a snapshot and the entries after it. It returns the state machine's
// error if the snapshot can't be restored.
func NewGroup(self uint64, machine StateMachine, base Snapshot, entries []Entry, options Options) (*Group, error) {
	if base.Index > 0 {
		if err := machine.Restore(base.State); err != nil {
			return nil, err
		}
	}
	g := &Group{
		self:    self,
		options: options.withDefaults(),
		machine: machine,
		log:     newEntryLog(position{index: base.Index, epoch: base.Epoch}, entries),
		commit:  commitState{committed: base.Index, applied: base.Index},
	}
	g.truncation = truncationTrigger{entries: 2 * g.options.RetainedEntries, bytes: g.options.RetainedBytes}
	g.view.Epoch = g.log.lastEpoch()
	return g, nil
}

// View returns the newest view known.
func (g *Group) View() View { return g.view }

// IsPrimary reports whether this replica is the primary of its view.
func (g *Group) IsPrimary() bool { return g.primary != nil }

// IsReady reports whether this primary has committed the entry that opened its epoch, so that its state is complete.
func (g *Group) IsReady() bool { return g.primary != nil && g.commit.applied >= g.epochStart }

// EpochStartIndex returns the index of the entry that opened the newest epoch in which this replica was primary. It identifies
// that leadership.
func (g *Group) EpochStartIndex() uint64 { return g.epochStart }

// AppliedIndex returns the index of the last entry applied to the state machine.
func (g *Group) AppliedIndex() uint64 { return g.commit.applied }

// LastIndex returns the index of the last entry of the log.
func (g *Group) LastIndex() uint64 { return g.log.lastIndex() }

// LastHeartbeat returns when the last message of the primary was received, by the clock given to Step.
func (g *Group) LastHeartbeat() int64 { return g.backup.lastHeartbeat }

// SetView installs a view. Older views are ignored.
func (g *Group) SetView(view View, now int64) {
	if view.Epoch < g.view.Epoch || (view.Epoch == g.view.Epoch && g.view.Primary != 0) {
		return
	}
	if view.Primary == g.self && g.primary == nil && view.Epoch <= g.log.lastEpoch() {
		// This replica led the epoch before a restart and may have sent entries that it no longer has.
		return
	}
	g.view = view
	g.backup.matched = 0
	switch {
	case view.Primary != g.self:
		g.stepDown()
	case g.primary != nil:
		clear(g.primary.admitting)
		g.updatePeers(now)
		g.advanceCommit()
	default:
		g.becomePrimary(now)
	}
}

// Step handles a message from another replica.
func (g *Group) Step(from uint64, message Message, now int64) {
	g.clock = max(g.clock, now)
	if message.Epoch < g.view.Epoch {
		if message.Kind == MessageAppend || message.Kind == MessageSnapshotChunk || message.Kind == MessageProbe {
			g.send(from, Message{Kind: MessageStaleEpoch, Epoch: g.view.Epoch})
		}
		return
	}
	switch message.Kind {
	case MessageAppend, MessageSnapshotChunk, MessageProbe:
		g.stepAsBackup(from, message, now)
	case MessageStaleEpoch:
		if message.Epoch > g.view.Epoch {
			g.view = View{Epoch: message.Epoch}
			g.stepDown()
		}
	default:
		if g.primary != nil && message.Epoch == g.view.Epoch {
			g.stepAsPrimary(from, message, now)
		}
	}
}

// Tick sends unacknowledged messages again, and heartbeats. Heartbeats go to all replicas if heartbeats is set, and always to
// replicas that are not in sync, which can be admitted once they respond. Call it about every 50 ms.
func (g *Group) Tick(now int64, heartbeats bool) {
	g.clock = max(g.clock, now)
	g.tickContact(now)
	if g.primary == nil {
		return
	}
	for _, id := range g.view.Replicas {
		if peer := g.peer(id); peer != nil {
			g.tickCatchUp(peer, now)
			g.tickPeer(peer, now, heartbeats)
		}
	}
}

// TakeOutput returns the pending output and clears it.
func (g *Group) TakeOutput() Output {
	output := g.output
	g.output = Output{}
	return output
}

// Close releases the transfer slots that the group holds.
func (g *Group) Close() {
	if g.primary == nil {
		return
	}
	for _, peer := range g.primary.peers {
		g.endTransfer(peer)
	}
}

func (g *Group) send(to uint64, message Message) {
	g.output.Messages = append(g.output.Messages, Outgoing{To: to, Message: message})
}

// write requests that entries be made durable. Entries that continue the last requested write are added to it.
func (g *Group) write(entries []Entry) {
	g.log.unwrittenBytes += sizeOf(entries)
	writes := &g.output.Writes
	if n := len(*writes); n > 0 {
		last := &(*writes)[n-1]
		if len(last.Entries) > 0 && last.Entries[len(last.Entries)-1].Index+1 == entries[0].Index {
			last.Entries = append(last.Entries, entries...)
			return
		}
	}
	*writes = append(*writes, Write{Entries: append([]Entry(nil), entries...)})
}
