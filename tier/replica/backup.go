package replica

// maxUnwrittenBytes is the size of entries waiting to be written above which a backup accepts no more.
const maxUnwrittenBytes = 4 << 20

// backupState is the state of a replica in its role as a backup.
type backupState struct {
	lastHeartbeat int64             // when the last message of the primary was received
	matched       uint64            // index up to which the log is known to match the primary's, in this epoch
	incoming      *incomingSnapshot // the snapshot being received, nil if there is none
	unrestorable  *incomingSnapshot // the last snapshot that couldn't be restored, without its bytes; nil if there is none
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
		g.backup.contact.primaryConfirmedAt = now // a majority has just decided on this primary
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
		// The entries up to the base are committed and therefore match.
		g.skipBelowBase(&message)
		prevEpoch = message.PrevEpoch
		known = true
	}
	if !known || prevEpoch != message.PrevEpoch {
		g.send(from, Message{Kind: MessageLogMismatch, Epoch: g.view.Epoch, Index: min(g.log.lastIndex(), message.Index)})
		return
	}
	entries := g.log.fromFirstMissing(message.Entries)
	if len(entries) > 0 && g.log.unwrittenBytes > maxUnwrittenBytes {
		return // the disk is too slow; the primary sends the entries again
	}
	if len(entries) > 0 {
		g.log.truncateFrom(entries[0].Index)
		g.log.append(entries...)
		g.write(entries)
	}
	g.commitAndAcknowledge(message.Commit, message.Index+uint64(len(message.Entries)))
}

// skipBelowBase removes the entries up to the base from a message and sets its index to the base.
func (g *Group) skipBelowBase(message *Message) {
	skip := g.log.base.index - message.Index
	if skip > uint64(len(message.Entries)) {
		message.Entries = nil
		return
	}
	message.Index = g.log.base.index
	message.Entries = message.Entries[skip:]
}

// commitAndAcknowledge applies what the primary has committed, as far as the logs are known to match, and acknowledges.
func (g *Group) commitAndAcknowledge(committed, matched uint64) {
	g.backup.matched = max(g.backup.matched, matched)
	if g.backup.incoming != nil && matched >= g.backup.incoming.position.index {
		g.backup.incoming = nil // the log no longer needs the snapshot
	}
	if commit := min(committed, matched); commit > g.commit.committed {
		g.commit.committed = commit
		g.applyCommitted()
	}
	// A message whose entries are all durable already, such as a heartbeat, is acknowledged at once.
	if g.log.durable >= matched && matched > 0 {
		g.sendAck(matched)
	}
}

// acknowledgeDurable acknowledges the entries that are durable and known to match the primary's log.
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
