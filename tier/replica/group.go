package replica

// StateMachine is what the commands act on. Apply has to be deterministic.
type StateMachine interface {
	// Apply carries out a command and returns its result, which is handed to whoever proposed it.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the state after all commands applied.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Write is what has to be made durable, in order.
type Write struct {
	Snapshot *Snapshot // replaces everything before
	Entries  []Entry   // replace entries at or above the first one's index
}

// Outgoing is a message for another replica.
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

// Output is what has to be done after an event.
type Output struct {
	Writes   []Write
	Messages []Outgoing
	Applied  []Applied
	// SteppedDown says that this replica is no longer primary: whether commands that it took will be committed is not known.
	SteppedDown bool
	// Regressed lists replicas whose log ends before what they acknowledged in this epoch, as after an older copy of a disk was
	// put back.
	Regressed []uint64
	// Unrestorable lists snapshots that arrived whole and that the state machine could not restore.
	Unrestorable []*RestoreError
}

// Group is one replica of a group.
type Group struct {
	self    uint64
	options Options // with defaults filled in
	machine StateMachine
	view    View
	clock   int64 // of the newest event, in milliseconds

	log        entryLog
	commit     commitState
	truncation truncationTrigger
	primary    *primaryState // nil while this replica is a backup
	backup     backupState
	vote       acceptedVote
	epochStart uint64 // index of the entry that opened the newest epoch led here
	output     Output
}

// NewGroup makes a replica from what was found on disk: a snapshot and the entries behind it. An error is that of the state
// machine, which could not restore the snapshot.
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

// View is the newest view known.
func (g *Group) View() View { return g.view }

// IsPrimary tells whether this replica takes commands.
func (g *Group) IsPrimary() bool { return g.primary != nil }

// IsReady tells whether this primary has committed the entry that opened its epoch, so that its state is complete.
func (g *Group) IsReady() bool { return g.primary != nil && g.commit.applied >= g.epochStart }

// EpochStartIndex is the entry that opened the newest epoch led here, and so names that leadership.
func (g *Group) EpochStartIndex() uint64 { return g.epochStart }

// AppliedIndex is the last entry that the state machine has seen.
func (g *Group) AppliedIndex() uint64 { return g.commit.applied }

// LastIndex is the last entry of the log.
func (g *Group) LastIndex() uint64 { return g.log.lastIndex() }

// LastHeartbeat is when a message of the primary last came, by the clock given to Step.
func (g *Group) LastHeartbeat() int64 { return g.backup.lastHeartbeat }

// SetView takes a view. Older ones are ignored.
func (g *Group) SetView(view View, now int64) {
	if view.Epoch < g.view.Epoch || (view.Epoch == g.view.Epoch && g.view.Primary != 0) {
		return
	}
	if view.Primary == g.self && g.primary == nil && view.Epoch <= g.log.lastEpoch() {
		// this replica led the epoch before a restart and may have sent entries that it no longer knows
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

// Step takes a message from another replica.
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

// Tick sends again what was not acknowledged, and heartbeats: to all where wanted, and always to replicas that are not in sync,
// which could be admitted when they answer. Call it every 50 ms or so.
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

// TakeOutput returns what has to be done and forgets it.
func (g *Group) TakeOutput() Output {
	output := g.output
	g.output = Output{}
	return output
}

// Close gives back what the group holds of things shared with other groups.
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

// write asks for entries to be made durable. Those that continue the write asked for last become a part of it.
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
