package replica

// maxUnwrittenBytes is how many bytes of entries a backup takes that are not on its disk yet.
const maxUnwrittenBytes = 4 << 20

// backupState is what a replica knows of the primary that it follows.
type backupState struct {
	lastHeartbeat int64             // when a message of the primary last came
	matched       uint64            // up to where the log is known to be the primary's, in this epoch
	incoming      *incomingSnapshot // nil while none is received
	unrestorable  *incomingSnapshot // the last one that the state machine could not restore, without its bytes; nil: none
	contact       backupContact
}

func (g *Group) stepAsBackup(from uint64, message Message, now int64) {
	if from == g.self || (g.primary != nil && message.Epoch == g.view.Epoch) {
		return
	}
	if message.Epoch > g.view.Epoch || g.view.Primary == 0 {
		g.view = View{Epoch: message.Epoch, Primary: from}
		g.backup.matched = 0
		g.stepDown()
		g.backup.contact.primaryConfirmedAt = now // a majority has just decided for it
	}
	g.backup.lastHeartbeat = now
	switch message.Kind {
	case MessageSnapshotChunk:
		g.receiveChunk(message)
	case MessageProbe:
		g.handleProbe(from, message, now)
	default:
		g.handleAppend(from, message)
	}
}

func (g *Group) handleAppend(from uint64, message Message) {
	prevEpoch, known := g.log.epochAt(message.Index)
	if message.Index < g.log.base.index {
		// what stands before the base is committed and therefore the same
		g.skipBelowBase(&message)
		prevEpoch = message.PrevEpoch
		known = true
	}
	if !known || prevEpoch != message.PrevEpoch {
		g.send(from, Message{Kind: MessageLogMismatch, Epoch: g.view.Epoch, Index: min(g.log.lastIndex(), message.Index)})
		return
	}
	entries := g.log.firstMissing(message.Entries)
	if len(entries) > 0 && g.log.unwrittenBytes > maxUnwrittenBytes {
		return // the disk is behind; they come again
	}
	if len(entries) > 0 {
		g.log.truncateFrom(entries[0].Index)
		g.log.append(entries...)
		g.write(entries)
	}
	g.follow(message.Commit, message.Index+uint64(len(message.Entries)))
}

// skipBelowBase drops entries below the base from a message and moves its index there.
func (g *Group) skipBelowBase(message *Message) {
	skip := g.log.base.index - message.Index
	if skip > uint64(len(message.Entries)) {
		message.Entries = nil
		return
	}
	message.Index = g.log.base.index
	message.Entries = message.Entries[skip:]
}

// follow applies what the primary has committed, as far as the logs are known to match, and acknowledges.
func (g *Group) follow(committed, matched uint64) {
	g.backup.matched = max(g.backup.matched, matched)
	if g.backup.incoming != nil && matched >= g.backup.incoming.position.index {
		g.backup.incoming = nil // the log goes on without it
	}
	if commit := min(committed, matched); commit > g.commit.committed {
		g.commit.committed = commit
		g.applyCommitted()
	}
	// a message whose entries are all durable already is answered at once, heartbeats among them
	if g.log.durable >= matched && matched > 0 {
		g.sendAck(matched)
	}
}

// acknowledgeDurable reports to the primary what is durable here and known to match its log.
func (g *Group) acknowledgeDurable() {
	index := min(g.log.durable, g.backup.matched)
	if g.view.Primary == 0 || g.view.Primary == g.self || index == 0 {
		return
	}
	g.sendAck(index)
}

func (g *Group) sendAck(index uint64) {
	g.send(g.view.Primary, Message{Kind: MessageAck, Epoch: g.view.Epoch, Index: index})
}
