package replica

import "hash/crc32"

const (
	// windowChunks is the maximum number of unacknowledged chunks. It bounds how much data heartbeats and entries queue behind.
	windowChunks = 4
	// chunkResendAfter is how long a chunk may stay unacknowledged before it is sent again, in milliseconds. It doubles with each
	// resend, up to chunkResendLimit.
	chunkResendAfter        = 1000
	chunkResendLimit        = 8000
	maxChunkResendDoublings = 3
	// maxChunkResends is how often a chunk is sent again before the transfer is cancelled: the replica responds but doesn't accept
	// the snapshot.
	maxChunkResends = 5
	// slotReleaseAfter is how long a replica may be silent before its transfer releases its slot, in milliseconds.
	slotReleaseAfter = 1000
	// transferAbandonAfter is how long a replica may be silent before its transfer is abandoned and the snapshot discarded, in
	// milliseconds.
	transferAbandonAfter = 10000
	// transferBackoffFirst is the delay after a cancelled transfer before the next one, in milliseconds. It doubles with each
	// cancelled transfer, up to transferBackoffLimit.
	transferBackoffFirst        = 500
	transferBackoffLimit        = 16000
	maxTransferBackoffDoublings = 5
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a snapshot that is sent to one or more replicas.
type outgoingSnapshot struct {
	position

	state    []byte
	checksum uint32
}

// transfer is the transfer of a snapshot to one replica.
type transfer struct {
	snapshot   *outgoingSnapshot
	sent       int  // bytes sent, acknowledged or not
	received   int  // bytes that the replica has acknowledged
	complete   bool // whether the replica has acknowledged all bytes
	holdsSlot  bool // whether it occupies one of the TransferSlots
	resends    int  // resends of the same chunk
	progressAt int64
}

// transferBackoff delays the next transfer to a replica after cancelled ones.
type transferBackoff struct {
	cancelled int // transfers cancelled since the last one that succeeded
	retryAt   int64
}

// recordCancelled records a cancelled transfer and sets the time of the next attempt.
func (b *transferBackoff) recordCancelled(now int64) {
	pause := min(int64(transferBackoffFirst)<<min(b.cancelled, maxTransferBackoffDoublings), transferBackoffLimit)
	b.cancelled++
	b.retryAt = now + pause
}

// TransferSlots limits the concurrent snapshot transfers of all groups that share it. It has a single owner and is not safe for
// concurrent use.
type TransferSlots struct{ free int }

// NewTransferSlots returns slots for a number of concurrent transfers.
func NewTransferSlots(limit int) *TransferSlots { return &TransferSlots{free: limit} }

func (s *TransferSlots) acquire() bool {
	if s == nil {
		return true
	}
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

func (s *TransferSlots) release() {
	if s != nil {
		s.free++
	}
}

// retainedDuringTransfer returns the size of the entries that are retained after the snapshot of a transfer. If the replica's link
// is at least as fast as new entries arrive, entries of at most the snapshot's size arrive during the transfer. Entries of twice
// that size are retained, so the log outgrows a transfer only if the link is too slow for any snapshot.
func (g *Group) retainedDuringTransfer(t *transfer) int {
	return g.options.RetainedBytes + 2*len(t.snapshot.state)
}

// startTransfer starts to send a snapshot to a replica whose log can't be continued, unless the backoff delay has not passed.
func (g *Group) startTransfer(peer *progress, now int64) {
	if now < peer.transferBackoff.retryAt {
		peer.probing = true
		peer.next = g.log.lastIndex() + 1
		return
	}
	peer.transfer = &transfer{snapshot: g.snapshotToSend(), progressAt: now}
	g.sendChunks(peer, now)
}

// snapshotToSend returns a snapshot that is already being sent to another replica, if the log after it is still in memory, and a
// new one otherwise.
func (g *Group) snapshotToSend() *outgoingSnapshot {
	for _, id := range g.view.Replicas {
		if peer := g.peer(id); peer != nil && peer.transfer != nil && peer.transfer.snapshot.index >= g.log.base.index {
			return peer.transfer.snapshot
		}
	}
	epoch, _ := g.log.epochAt(g.commit.applied)
	state := g.machine.Snapshot()
	return &outgoingSnapshot{
		position: position{index: g.commit.applied, epoch: epoch}, state: state, checksum: crc32.Checksum(state, checksumTable),
	}
}

// sendChunks sends as many chunks as the window allows, if a transfer slot is available.
func (g *Group) sendChunks(peer *progress, now int64) {
	t := peer.transfer
	if !t.holdsSlot {
		if !g.options.TransferSlots.acquire() {
			return
		}
		t.holdsSlot = true
		t.progressAt = now
	}
	first := t.sent == 0 // an empty snapshot is sent as one empty chunk
	for first || (t.sent < len(t.snapshot.state) && t.sent-t.received < windowChunks*g.options.SnapshotChunkBytes) {
		first = false
		g.sendChunk(peer, now)
	}
}

func (g *Group) sendChunk(peer *progress, now int64) {
	t := peer.transfer
	end := min(t.sent+g.options.SnapshotChunkBytes, len(t.snapshot.state))
	g.send(peer.id, Message{
		Kind: MessageSnapshotChunk, Epoch: g.view.Epoch, Index: t.snapshot.index, PrevEpoch: t.snapshot.epoch, Commit: g.commit.committed,
		Offset: uint32(t.sent), Total: uint32(len(t.snapshot.state)), Checksum: t.snapshot.checksum, Chunk: t.snapshot.state[t.sent:end],
	})
	t.sent = end
	peer.lastSent = now
}

// handleChunkAck records how much of a snapshot a replica has received.
func (g *Group) handleChunkAck(peer *progress, message Message, now int64) {
	t := peer.transfer
	if t == nil || message.Index != t.snapshot.index || message.Checksum != t.snapshot.checksum {
		return
	}
	received := min(int(message.Offset), len(t.snapshot.state))
	if received < t.received {
		t.sent = received // the replica restarted and has less than before
		t.complete = false
	}
	if received != t.received {
		t.progressAt = now
		t.resends = 0
	}
	t.received = received
	t.sent = max(t.sent, received)
	if received == len(t.snapshot.state) {
		t.complete = true
		g.releaseSlot(t)
		return
	}
	g.sendChunks(peer, now)
}

// tickTransfer advances a transfer: it acquires a slot when one is free, resends unacknowledged chunks, sends heartbeats to learn
// whether the snapshot is installed, and abandons the transfer if the replica is silent for too long.
func (g *Group) tickTransfer(peer *progress, now int64) {
	t := peer.transfer
	silence := now - peer.lastHeard
	if silence > transferAbandonAfter {
		g.endTransfer(peer)
		g.sendLogProbe(peer, now)
		return
	}
	if silence > slotReleaseAfter {
		g.releaseSlot(t)
	}
	if !t.complete && silence <= slotReleaseAfter && !t.holdsSlot {
		g.sendChunks(peer, now)
	}
	if t.holdsSlot && now-max(t.progressAt, peer.lastSent) > t.resendDelay() {
		if t.resends == maxChunkResends {
			g.cancelTransfer(peer)
			return
		}
		t.resends++
		t.sent = t.received
		g.sendChunk(peer, now)
	}
	if now-peer.lastTransferHeartbeat >= heartbeatInterval {
		peer.lastTransferHeartbeat = now
		g.send(peer.id, g.appendMessageAfter(t.snapshot.position))
	}
}

// resendDelay returns how long a chunk may stay unacknowledged before it is sent again, in milliseconds.
func (t *transfer) resendDelay() int64 {
	return min(int64(chunkResendAfter)<<min(t.resends, maxChunkResendDoublings), chunkResendLimit)
}

// restartLostTransfer sends the same snapshot again from its beginning if the replica had acknowledged all of it but reports that
// it lacks it. This happens if the replica restarts before the snapshot is durable.
func (g *Group) restartLostTransfer(peer *progress, now int64) {
	t := peer.transfer
	if !t.complete {
		return
	}
	t.complete = false
	t.sent = 0
	t.received = 0
	t.progressAt = now
	g.sendChunks(peer, now)
}

// cancelTransfer ends a transfer that the log has outgrown or whose snapshot the replica doesn't accept, and increases the backoff.
func (g *Group) cancelTransfer(peer *progress) {
	peer.transferBackoff.recordCancelled(g.clock)
	g.endTransfer(peer)
	peer.probing = true
	peer.next = g.log.lastIndex() + 1
}

func (g *Group) endTransfer(peer *progress) {
	if peer.transfer != nil {
		g.releaseSlot(peer.transfer)
		peer.transfer = nil
	}
}

func (g *Group) releaseSlot(t *transfer) {
	if t.holdsSlot {
		t.holdsSlot = false
		g.options.TransferSlots.release()
	}
}
