package replica

import "hash/crc32"

const (
	// standardPieceBytes is the size of one piece of a snapshot.
	standardPieceBytes = 32 << 10
	// windowPieces is how many pieces may be on their way at once. Heartbeats and entries wait behind no more than these.
	windowPieces = 4
	// pieceResend is how long a piece may stay unanswered before it is sent again; each time twice as long, up to the limit.
	pieceResend      = 1000 // milliseconds
	pieceResendLimit = 8000
	// slotSilence is how long a replica may be silent before its transfer makes way for those of others.
	slotSilence = 1000 // milliseconds
	// transferPatience is how long a replica may be silent before its transfer is given up and the snapshot forgotten.
	transferPatience = 10000 // milliseconds
	// retryPause is the pause after a transfer that the log outgrew; each time twice as long, up to the limit.
	retryPause      = 500 // milliseconds
	retryPauseLimit = 16000
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a state that is sent to one or more replicas.
type outgoingSnapshot struct {
	index    uint64
	epoch    uint64
	state    []byte
	checksum uint32
}

// transfer is a snapshot on its way to one replica.
type transfer struct {
	snapshot *outgoingSnapshot
	sent     int  // bytes sent, answered or not
	received int  // bytes that the replica said it holds
	whole    bool // the replica has all
	slot     bool // it counts among those that send
	resends  int  // of the same piece
	movedAt  int64
}

// incomingSnapshot is a state that arrives in pieces. It is put aside until it is whole and its checksum is right.
type incomingSnapshot struct {
	index     uint64
	epoch     uint64
	checksum  uint32
	total     uint32
	sentEpoch uint64 // epoch of the primary that began it
	state     []byte
}

// TransferSlots bounds how many snapshots are sent at once by all groups that share it. It has a single owner.
type TransferSlots struct{ free int }

// NewTransferSlots allows so many transfers at once.
func NewTransferSlots(limit int) *TransferSlots { return &TransferSlots{free: limit} }

func (s *TransferSlots) take() bool {
	if s == nil {
		return true
	}
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

func (s *TransferSlots) giveBack() {
	if s != nil {
		s.free++
	}
}

// transferBytesKept is how many bytes of entries stay in memory behind a snapshot that is under way. A replica whose link
// carries the changes as fast as they come receives the snapshot while no more than the snapshot's own size of changes arrives;
// with twice that, a transfer which the log outgrows is one that no snapshot could have helped.
func (g *Group) transferBytesKept(t *transfer) int { return g.bytesKept + 2*len(t.snapshot.state) }

// startTransfer begins to send a snapshot to a replica whose log cannot be continued.
func (g *Group) startTransfer(id uint64, peer *progress, now int64) {
	if now < peer.retryAt {
		peer.probing = true
		peer.next = g.lastIndex() + 1
		return
	}
	peer.transfer = &transfer{snapshot: g.snapshotToSend(), movedAt: now}
	g.sendPieces(id, peer, now)
}

// snapshotToSend is a snapshot that another replica is being sent and whose log goes on, or a new one.
func (g *Group) snapshotToSend() *outgoingSnapshot {
	for _, id := range g.view.Replicas {
		if peer := g.peers[id]; peer != nil && peer.transfer != nil && peer.transfer.snapshot.index >= g.base.Index {
			return peer.transfer.snapshot
		}
	}
	epoch, _ := g.epochAt(g.applied)
	state := g.machine.Snapshot()
	return &outgoingSnapshot{index: g.applied, epoch: epoch, state: state, checksum: crc32.Checksum(state, checksumTable)}
}

// sendPieces sends what the window allows, if the transfer may run now.
func (g *Group) sendPieces(id uint64, peer *progress, now int64) {
	t := peer.transfer
	if !t.slot {
		if !g.slots.take() {
			return
		}
		t.slot = true
		t.movedAt = now
	}
	first := t.sent == 0
	for first || (t.sent < len(t.snapshot.state) && t.sent-t.received < windowPieces*g.pieceBytes) {
		first = false
		g.sendPiece(id, peer, now)
	}
}

func (g *Group) sendPiece(id uint64, peer *progress, now int64) {
	t := peer.transfer
	end := min(t.sent+g.pieceBytes, len(t.snapshot.state))
	g.send(id, Message{
		Kind: MessageSnapshotChunk, Epoch: g.view.Epoch, Index: t.snapshot.index, PrevEpoch: t.snapshot.epoch, Commit: g.commit,
		Offset: uint32(t.sent), Total: uint32(len(t.snapshot.state)), Checksum: t.snapshot.checksum, Chunk: t.snapshot.state[t.sent:end],
	})
	t.sent = end
	peer.sentAt = now
}

// stepPieceReceived takes a replica's word on how much of a snapshot it holds.
func (g *Group) stepPieceReceived(id uint64, peer *progress, message Message, now int64) {
	t := peer.transfer
	if t == nil || message.Index != t.snapshot.index || message.Checksum != t.snapshot.checksum {
		return
	}
	received := min(int(message.Offset), len(t.snapshot.state))
	if received < t.received {
		t.sent = received // it was started again and holds less than before
		t.whole = false
	}
	if received != t.received {
		t.movedAt = now
		t.resends = 0
	}
	t.received = received
	t.sent = max(t.sent, received)
	if received == len(t.snapshot.state) {
		t.whole = true
		g.releaseSlot(t)
		return
	}
	g.sendPieces(id, peer, now)
}

// tickTransfer keeps a transfer going: it waits for a slot, sends again what was not answered, asks whether the snapshot is in
// place, and gives up on a replica that is silent for long.
func (g *Group) tickTransfer(id uint64, peer *progress, now int64) {
	t := peer.transfer
	silence := now - peer.heardAt
	if silence > transferPatience {
		g.endTransfer(peer)
		g.sendProbe(id, peer, now)
		return
	}
	if silence > slotSilence {
		g.releaseSlot(t)
	}
	if !t.whole && silence <= slotSilence && !t.slot {
		g.sendPieces(id, peer, now)
	}
	if t.slot && now-max(t.movedAt, peer.sentAt) > t.resendDelay() {
		t.resends++
		t.sent = t.received
		g.sendPiece(id, peer, now)
	}
	if now-peer.beatAt >= heartbeatSilence {
		peer.beatAt = now
		g.send(id, Message{Kind: MessageAppend, Epoch: g.view.Epoch, Index: t.snapshot.index, PrevEpoch: t.snapshot.epoch, Commit: g.commit})
	}
}

func (t *transfer) resendDelay() int64 {
	return min(int64(pieceResend)<<min(t.resends, 3), pieceResendLimit)
}

// restartWhenLost begins to send the same snapshot again when the replica says that it does not hold it although it had it all:
// it was started again before the snapshot was on its disk.
func (g *Group) restartWhenLost(id uint64, peer *progress, now int64) {
	t := peer.transfer
	if !t.whole {
		return
	}
	t.whole = false
	t.sent = 0
	t.received = 0
	t.movedAt = now
	g.sendPieces(id, peer, now)
}

// cancelTransfer ends a transfer that the log has outgrown; the next one waits longer.
func (g *Group) cancelTransfer(peer *progress) {
	pause := min(int64(retryPause)<<min(peer.outgrown, 5), retryPauseLimit)
	peer.outgrown++
	peer.retryAt = g.clock + pause
	g.endTransfer(peer)
	peer.probing = true
	peer.next = g.lastIndex() + 1
}

func (g *Group) endTransfer(peer *progress) {
	if peer.transfer != nil {
		g.releaseSlot(peer.transfer)
		peer.transfer = nil
	}
}

func (g *Group) releaseSlot(t *transfer) {
	if t.slot {
		t.slot = false
		g.slots.giveBack()
	}
}

// Close gives back what the group holds of things shared with other groups.
func (g *Group) Close() {
	for _, peer := range g.peers {
		g.endTransfer(peer)
	}
}

// receivePiece puts a piece of a snapshot aside and installs the snapshot once it is whole.
func (g *Group) receivePiece(message Message) {
	if g.covers(message) {
		g.incoming = nil
		g.follow(Message{Commit: message.Index}, message.Index)
		return
	}
	if !g.expectPiecesOf(message) {
		return
	}
	incoming := g.incoming
	if int(message.Offset) == len(incoming.state) {
		incoming.state = append(incoming.state, message.Chunk...)
	}
	if len(incoming.state) < int(incoming.total) {
		g.answerPiece(message, len(incoming.state))
		return
	}
	g.incoming = nil
	if len(incoming.state) != int(incoming.total) || crc32.Checksum(incoming.state, checksumTable) != incoming.checksum {
		g.answerPiece(message, 0)
		return
	}
	if g.install(incoming) {
		g.answerPiece(message, int(incoming.total))
	}
}

// covers tells whether the log reaches as far as a snapshot already, and is alike there.
func (g *Group) covers(message Message) bool {
	epoch, known := g.epochAt(message.Index)
	return message.Index <= g.applied || (known && epoch == message.PrevEpoch)
}

// expectPiecesOf makes ready for the snapshot that a piece belongs to. A late piece of an older snapshot of the same primary is
// not wanted.
func (g *Group) expectPiecesOf(message Message) bool {
	held := g.incoming
	if held != nil && held.index == message.Index && held.epoch == message.PrevEpoch && held.checksum == message.Checksum && held.total == message.Total {
		return true
	}
	if held != nil && message.Epoch == held.sentEpoch && message.Index < held.index {
		return false
	}
	g.incoming = &incomingSnapshot{
		index: message.Index, epoch: message.PrevEpoch, checksum: message.Checksum, total: message.Total, sentEpoch: message.Epoch,
	}
	return true
}

func (g *Group) answerPiece(message Message, received int) {
	g.send(g.view.Primary, Message{
		Kind: MessageChunkAck, Epoch: g.view.Epoch, Index: message.Index, PrevEpoch: message.PrevEpoch,
		Offset: uint32(received), Checksum: message.Checksum,
	})
}

// install replaces the state and the log by a whole snapshot.
func (g *Group) install(incoming *incomingSnapshot) bool {
	if err := g.machine.Restore(incoming.state); err != nil {
		return false
	}
	g.base = Snapshot{Index: incoming.index, Epoch: incoming.epoch}
	g.log = nil
	g.logBytes = 0
	g.appliedBytes = 0
	g.applied = incoming.index
	g.commit = incoming.index
	g.durable = 0
	g.alike = incoming.index
	written := Snapshot{Index: incoming.index, Epoch: incoming.epoch, State: incoming.state}
	g.output.Writes = append(g.output.Writes, Write{Snapshot: &written})
	return true
}
