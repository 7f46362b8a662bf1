package replica

const (
	// maxAppendBytes is the size of entries after which no more are added to a message.
	maxAppendBytes = 256 << 10
	// maxInFlight is the size of unacknowledged entries at which no more are sent to a replica.
	maxInFlight = 2 << 20
	// resendAfter is how long entries may stay unacknowledged before they are sent again, in milliseconds. It doubles after every
	// second resend without progress, up to resendLimit.
	resendAfter = 150
	resendLimit = 2400
	// maxResendDoublings bounds the number of doublings.
	maxResendDoublings = 4
)

// progress is a primary's view of one replica: what the replica has acknowledged and what has been sent to it.
type progress struct {
	id        uint64
	match     uint64 // index of the last entry known to be durable there
	next      uint64 // index of the next entry to send
	probing   bool   // whether it is still unknown up to where the logs match
	inFlight  int    // size of the entries sent but not acknowledged
	resends   int    // resends of entries without progress
	lastHeard int64
	lastSent  int64

	catchUp         catchUpWait
	transfer        *transfer // the snapshot transfer in progress, nil if there is none
	transferBackoff transferBackoff
	// lastTransferHeartbeat is when the last heartbeat during a transfer was sent.
	lastTransferHeartbeat int64
}

// replicates reports whether the replica is sent new entries as they are proposed.
func (p *progress) replicates() bool { return !p.probing && p.transfer == nil }

// resumeAfterMatch makes the entry after the last acknowledged one the next to send.
func (p *progress) resumeAfterMatch() {
	p.next = p.match + 1
	p.inFlight = 0
}

// resendDelay returns how long entries may stay unacknowledged before they are sent again, in milliseconds.
func (p *progress) resendDelay() int64 {
	return min(int64(resendAfter)<<min(p.resends/2, maxResendDoublings), resendLimit)
}

// sendEntries sends the entries that a replica lacks, or an empty append as a heartbeat. It starts a snapshot transfer if these
// entries are no longer in memory.
func (g *Group) sendEntries(peer *progress, now int64) {
	prevEpoch, known := g.log.epochAt(peer.next - 1)
	if !known {
		g.startTransfer(peer, now)
		return
	}
	message := g.appendMessageAfter(position{index: peer.next - 1, epoch: prevEpoch})
	size := 0
	if peer.inFlight < maxInFlight {
		message.Entries, size = g.log.batchFrom(peer.next)
	}
	if !peer.probing {
		peer.next += uint64(len(message.Entries))
		peer.inFlight += size
	}
	peer.lastSent = now
	g.send(peer.id, message)
}

// sendLogProbe sends a replica an append without entries, to learn how far its log matches.
func (g *Group) sendLogProbe(peer *progress, now int64) {
	peer.resumeAfterMatch()
	prevEpoch, known := g.log.epochAt(peer.match)
	if !known || peer.match == 0 {
		peer.probing = true
		peer.next = g.log.lastIndex() + 1
		prevEpoch = g.log.lastEpoch()
	}
	peer.lastSent = now
	g.send(peer.id, g.appendMessageAfter(position{index: peer.next - 1, epoch: prevEpoch}))
}

// resendEntries resumes sending after the last entry that the replica has acknowledged.
func (g *Group) resendEntries(peer *progress, now int64) {
	peer.resends++
	peer.inFlight = 0
	peer.next = min(peer.next, max(peer.match+1, 1))
	if peer.match == 0 {
		peer.next = g.log.lastIndex() + 1
		peer.probing = true
	}
	g.sendEntries(peer, now)
}

// appendMessageAfter returns an append message that follows an entry. It has no entries yet.
func (g *Group) appendMessageAfter(previous position) Message {
	return Message{Kind: MessageAppend, Epoch: g.view.Epoch, Index: previous.index, PrevEpoch: previous.epoch, Commit: g.commit.committed}
}
