package replica

import "hash/crc32"

// incomingSnapshot is a snapshot being received in chunks. It is installed once it is complete and its checksum matches.
type incomingSnapshot struct {
	position    position
	checksum    uint32
	total       uint32
	senderEpoch uint64 // epoch of the primary that started the transfer
	state       []byte
}

// includes reports whether a chunk belongs to the snapshot. It returns false for a nil snapshot.
func (s *incomingSnapshot) includes(chunk Message) bool {
	return s != nil && s.position == snapshotPosition(chunk) && s.checksum == chunk.Checksum && s.total == chunk.Total
}

// isValid reports whether the snapshot is complete and its checksum matches.
func (s *incomingSnapshot) isValid() bool {
	return len(s.state) == int(s.total) && crc32.Checksum(s.state, checksumTable) == s.checksum
}

func snapshotPosition(chunk Message) position {
	return position{index: chunk.Index, epoch: chunk.PrevEpoch}
}

// receiveChunk stores a chunk of a snapshot and installs the snapshot once it is complete.
func (g *Group) receiveChunk(chunk Message) {
	if g.covers(snapshotPosition(chunk)) {
		g.backup.incoming = nil
		g.commitAndAcknowledge(chunk.Index, chunk.Index)
		return
	}
	if g.backup.unrestorable.includes(chunk) || !g.prepareForChunk(chunk) {
		return
	}
	incoming := g.backup.incoming
	if int(chunk.Offset) == len(incoming.state) {
		incoming.state = append(incoming.state, chunk.Chunk...)
	}
	if len(incoming.state) < int(incoming.total) {
		g.acknowledgeChunk(chunk, len(incoming.state))
		return
	}
	g.backup.incoming = nil
	if !incoming.isValid() {
		g.acknowledgeChunk(chunk, 0)
		return
	}
	if g.install(incoming) {
		g.acknowledgeChunk(chunk, int(incoming.total))
	}
}

// covers reports whether the log already contains the last entry that a snapshot covers.
func (g *Group) covers(snapshot position) bool {
	epoch, known := g.log.epochAt(snapshot.index)
	return snapshot.index <= g.commit.applied || (known && epoch == snapshot.epoch)
}

// prepareForChunk starts to receive the snapshot that a chunk belongs to, unless that has already started. It returns false for a
// late chunk of an older snapshot of the same primary.
func (g *Group) prepareForChunk(chunk Message) bool {
	incoming := g.backup.incoming
	if incoming.includes(chunk) {
		return true
	}
	if incoming != nil && chunk.Epoch == incoming.senderEpoch && chunk.Index < incoming.position.index {
		return false
	}
	g.backup.incoming = &incomingSnapshot{
		position: snapshotPosition(chunk), checksum: chunk.Checksum, total: chunk.Total, senderEpoch: chunk.Epoch,
	}
	return true
}

func (g *Group) acknowledgeChunk(chunk Message, received int) {
	g.send(g.view.Primary, Message{
		Kind: MessageChunkAck, Epoch: g.view.Epoch, Index: chunk.Index, PrevEpoch: chunk.PrevEpoch,
		Offset: uint32(received), Checksum: chunk.Checksum,
	})
}

// install replaces the state and the log by a complete snapshot. A snapshot that the state machine can't restore is not
// acknowledged: its chunks are ignored from then on, and the primary cancels the transfer.
func (g *Group) install(incoming *incomingSnapshot) bool {
	if err := g.machine.Restore(incoming.state); err != nil {
		g.output.Unrestorable = append(g.output.Unrestorable, &RestoreError{Index: incoming.position.index, Bytes: len(incoming.state), Err: err})
		incoming.state = nil
		g.backup.unrestorable = incoming
		return false
	}
	index := incoming.position.index
	g.log.resetTo(incoming.position)
	g.commit = commitState{committed: index, applied: index}
	g.backup.matched = index
	snapshot := Snapshot{Index: index, Epoch: incoming.position.epoch, State: incoming.state}
	g.output.Writes = append(g.output.Writes, Write{Snapshot: &snapshot})
	return true
}
