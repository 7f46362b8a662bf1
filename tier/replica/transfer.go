package replica

import "hash/crc32"

const (
	// windowChunks is how many chunks may be on their way at once. Heartbeats and entries wait behind no more than these.
	windowChunks = 4
	// chunkResendAfter is how long a chunk may stay unanswered before it is sent again, in milliseconds; each time twice as long,
	// up to the limit.
	chunkResendAfter        = 1000
	chunkResendLimit        = 8000
	maxChunkResendDoublings = 3
	// maxChunkResends is how often a chunk is sent again before the transfer is given up: the replica is heard but does not take
	// the snapshot.
	maxChunkResends = 5
	// slotReleaseAfter is how long a replica may be silent before its transfer makes way for those of others, in milliseconds.
	slotReleaseAfter = 1000
	// transferAbandonAfter is how long a replica may be silent before its transfer is given up and the snapshot forgotten, in
	// milliseconds.
	transferAbandonAfter = 10000
	// transferBackoffFirst is the pause after a transfer that was cancelled, in milliseconds; each time twice as long, up to
	// the limit.
	transferBackoffFirst        = 500
	transferBackoffLimit        = 16000
	maxTransferBackoffDoublings = 5
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a state that is sent to one or more replicas.
type outgoingSnapshot struct {
	position

	state    []byte
	checksum uint32
}

// transfer is a snapshot on its way to one replica.
type transfer struct {
	snapshot   *outgoingSnapshot
	sent       int  // bytes sent, acknowledged or not
	received   int  // bytes that the replica said it holds
	complete   bool // the replica holds all of it
	holdsSlot  bool // it counts among the transfers that send
	resends    int  // of the same chunk
	progressAt int64
}

// transferBackoff is the pause before the next transfer to a replica.
type transferBackoff struct {
	cancelled int // transfers, since the replica last held a snapshot
	retryAt   int64
}

// cancel notes a cancelled transfer.
func (b *transferBackoff) cancel(now int64) {
	pause := min(int64(transferBackoffFirst)<<min(b.cancelled, maxTransferBackoffDoublings), transferBackoffLimit)
	b.cancelled++
	b.retryAt = now + pause
}

// TransferSlots bounds how many snapshots are sent at once by all groups that share it. It has a single owner.
type TransferSlots struct{ free int }

// NewTransferSlots allows so many transfers at once.
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

// retainedDuringTransfer is how many bytes of entries stay in memory behind a snapshot that is on its way. A replica whose link
// carries the changes as fast as they come receives the snapshot while no more than the snapshot's own size of changes arrives;
// with twice that, a transfer which the log outgrows is one that no snapshot could have helped.
func (g *Group) retainedDuringTransfer(t *transfer) int {
	return g.options.RetainedBytes + 2*len(t.snapshot.state)
}

// startTransfer begins to send a snapshot to a replica whose log cannot be continued.
func (g *Group) startTransfer(peer *progress, now int64) {
	if now < peer.transferBackoff.retryAt {
		peer.probing = true
		peer.next = g.log.lastIndex() + 1
		return
	}
	peer.transfer = &transfer{snapshot: g.snapshotToSend(), progressAt: now}
	g.sendChunks(peer, now)
}

// snapshotToSend is a snapshot that another replica is being sent and whose log goes on, or a new one.
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

// sendChunks sends what the window allows, if the transfer may run now.
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

// handleChunkAck takes note of how much of a snapshot a replica holds.
func (g *Group) handleChunkAck(peer *progress, message Message, now int64) {
	t := peer.transfer
	if t == nil || message.Index != t.snapshot.index || message.Checksum != t.snapshot.checksum {
		return
	}
	received := min(int(message.Offset), len(t.snapshot.state))
	if received < t.received {
		t.sent = received // it was started again and holds less than before
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

// tickTransfer keeps a transfer going: it waits for a slot, sends again what was not answered, asks whether the snapshot is in
// place, and gives up on a replica that is silent for long.
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
	if now-peer.lastTransferHeartbeat >= heartbeatEvery {
		peer.lastTransferHeartbeat = now
		g.send(peer.id, g.appendBehind(t.snapshot.position))
	}
}

// resendDelay is how long a chunk may stay unanswered, in milliseconds.
func (t *transfer) resendDelay() int64 {
	return min(int64(chunkResendAfter)<<min(t.resends, maxChunkResendDoublings), chunkResendLimit)
}

// restartLostTransfer begins to send the same snapshot again when the replica says that it does not hold it although it had it
// all: it was started again before the snapshot was on its disk.
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

// cancelTransfer ends a transfer that the log has outgrown or that the replica does not take; the next one waits longer.
func (g *Group) cancelTransfer(peer *progress) {
	peer.transferBackoff.cancel(g.clock)
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
