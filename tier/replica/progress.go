package replica

const (
	// maxAppendBytes is the size of entries after which a message takes no more.
	maxAppendBytes = 256 << 10
	// maxInFlight is how many bytes of entries are sent to a replica and not acknowledged before no more are.
	maxInFlight = 2 << 20
	// resendAfter is how long entries may stay unacknowledged before they are sent again, in milliseconds; twice as long each
	// second time without progress, up to the limit.
	resendAfter = 150
	resendLimit = 2400
	// maxResendDoublings bounds the growth of that time.
	maxResendDoublings = 4
)

// progress is what a primary knows of one replica, and what it has sent there.
type progress struct {
	id        uint64
	match     uint64 // the last entry known to be durable there
	next      uint64 // the next entry to send
	probing   bool   // it is not known yet up to where the logs match
	inFlight  int    // bytes of entries sent and not acknowledged
	resends   int    // of entries, without progress
	lastHeard int64
	lastSent  int64

	catchUp         catchUpWait
	transfer        *transfer // a snapshot on its way, nil if there is none
	transferBackoff transferBackoff
	// lastTransferHeartbeat is when the last heartbeat beside a transfer was sent.
	lastTransferHeartbeat int64
}

// replicates tells whether the replica is sent entries as they come.
func (p *progress) replicates() bool { return !p.probing && p.transfer == nil }

// continueBehindMatch has the entry behind the last acknowledged one sent next.
func (p *progress) continueBehindMatch() {
	p.next = p.match + 1
	p.inFlight = 0
}

// resendDelay is how long entries may stay unacknowledged, in milliseconds.
func (p *progress) resendDelay() int64 {
	return min(int64(resendAfter)<<min(p.resends/2, maxResendDoublings), resendLimit)
}

// sendEntries sends what a replica lacks, or an empty append as a heartbeat. It begins a transfer if that is no longer in memory.
func (g *Group) sendEntries(peer *progress, now int64) {
	prevEpoch, known := g.log.epochAt(peer.next - 1)
	if !known {
		g.startTransfer(peer, now)
		return
	}
	message := g.appendBehind(position{index: peer.next - 1, epoch: prevEpoch})
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

// sendLogProbe asks a replica how far its log goes with an append that carries nothing.
func (g *Group) sendLogProbe(peer *progress, now int64) {
	peer.continueBehindMatch()
	prevEpoch, known := g.log.epochAt(peer.match)
	if !known || peer.match == 0 {
		peer.probing = true
		peer.next = g.log.lastIndex() + 1
		prevEpoch = g.log.lastEpoch()
	}
	peer.lastSent = now
	g.send(peer.id, g.appendBehind(position{index: peer.next - 1, epoch: prevEpoch}))
}

// resendEntries starts again behind what the replica has acknowledged.
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

// appendBehind is an append behind an entry, without entries yet.
func (g *Group) appendBehind(previous position) Message {
	return Message{Kind: MessageAppend, Epoch: g.view.Epoch, Index: previous.index, PrevEpoch: previous.epoch, Commit: g.commit.committed}
}
