package replica

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"otterseam/tier/codes"
)

// transferPair is a primary with a state of several chunks and an empty backup that can't be brought up to date from the
// primary's log.
type transferPair struct {
	t       *testing.T
	now     int64
	primary *Group
	backup  *Group
	state   []byte
}

const testChunkBytes = 100

func newTransferPair(t *testing.T) *transferPair {
	t.Helper()
	options := Options{RetainedEntries: 1, RetainedBytes: 4000, SnapshotChunkBytes: testChunkBytes}
	p := &transferPair{t: t, now: 1000, primary: newPrimaryOfTwo(t, options), state: bytes.Repeat([]byte("abcdefg"), 200)}
	p.now = 2000 // replica 2 has been silent since its first acknowledgement
	p.propose(bytes.Repeat([]byte("x"), 3000))
	p.propose(bytes.Repeat([]byte("x"), 3000))
	p.propose(p.state)
	p.primary.Trim()
	p.startBackup()
	return p
}

func (p *transferPair) startBackup() {
	p.t.Helper()
	backup, err := NewGroup(2, &blobMachine{}, Snapshot{}, nil, Options{SnapshotChunkBytes: testChunkBytes})
	if err != nil {
		p.t.Fatal(err)
	}
	p.backup = backup
}

func (p *transferPair) propose(command []byte) {
	index := p.primary.Propose(command, p.now)
	p.primary.MarkDurable(index, 1, p.now)
}

// chunkOffsets returns the offsets of the snapshot chunks among messages.
func chunkOffsets(messages []Outgoing) []int {
	var offsets []int
	for _, out := range messages {
		if out.Message.Kind == MessageSnapshotChunk {
			offsets = append(offsets, int(out.Message.Offset))
		}
	}
	return offsets
}

// beginTransfer makes the backup report that its log is empty and returns what the primary sends.
func (p *transferPair) beginTransfer() []Outgoing {
	p.primary.TakeOutput()
	p.primary.Step(2, Message{Kind: MessageLogMismatch, Epoch: 1, Index: 0}, p.now)
	return p.primary.TakeOutput().Messages
}

// exchange delivers messages in both directions until neither group sends any more, and makes writes durable.
func (p *transferPair) exchange(toBackup []Outgoing) {
	for len(toBackup) > 0 {
		for _, out := range toBackup {
			p.backup.Step(1, out.Message, p.now)
		}
		output := p.backup.TakeOutput()
		for _, write := range output.Writes {
			if write.Snapshot != nil {
				p.backup.MarkDurable(write.Snapshot.Index, write.Snapshot.Epoch, p.now)
			}
			if n := len(write.Entries); n > 0 {
				p.backup.MarkDurable(write.Entries[n-1].Index, write.Entries[n-1].Epoch, p.now)
			}
		}
		responses := slices.Concat(output.Messages, p.backup.TakeOutput().Messages)
		for _, out := range responses {
			p.primary.Step(2, out.Message, p.now)
		}
		toBackup = p.primary.TakeOutput().Messages
	}
}

func (p *transferPair) caughtUp() bool { return len(p.primary.CaughtUp(p.now)) == 1 }

// A snapshot is sent in chunks, at most a window of them at once, and the next one after an acknowledgement.
func TestSnapshotIsSentInChunksWithinWindow(t *testing.T) {
	p := newTransferPair(t)
	sent := p.beginTransfer()
	if got := chunkOffsets(sent); len(got) != windowChunks || got[0] != 0 || got[1] != testChunkBytes {
		t.Fatalf("sent %v", got)
	}
	p.backup.Step(1, sent[0].Message, p.now)
	answer := p.backup.TakeOutput().Messages
	p.primary.Step(2, answer[0].Message, p.now)
	if got := chunkOffsets(p.primary.TakeOutput().Messages); len(got) != 1 || got[0] != windowChunks*testChunkBytes {
		t.Fatalf("after one acknowledgement: %v", got)
	}
	p.exchange(sent[1:])
	for range 30 {
		p.now += 100
		p.primary.Tick(p.now, true)
		p.exchange(p.primary.TakeOutput().Messages)
	}
	if !p.caughtUp() || !bytes.Equal(p.backup.machine.(*blobMachine).last, p.state) {
		t.Fatal("the snapshot did not arrive")
	}
}

// After a connection loss the transfer resumes with the lost chunk of the same snapshot, although the state has changed meanwhile.
func TestTransferResumesAfterConnectionLoss(t *testing.T) {
	p := newTransferPair(t)
	sent := p.beginTransfer()
	index := sent[0].Message.Index
	for _, out := range sent[:2] {
		p.backup.Step(1, out.Message, p.now)
	}
	for _, out := range p.backup.TakeOutput().Messages {
		p.primary.Step(2, out.Message, p.now)
	}
	p.primary.TakeOutput() // lost with the connection, like two of the first four chunks
	p.propose([]byte("newer"))
	p.now += 1200
	p.primary.Step(2, Message{Kind: MessageLogMismatch, Epoch: 1, Index: 0}, p.now) // the response to a heartbeat
	p.primary.Tick(p.now, true)
	resent := p.primary.TakeOutput().Messages
	if got := chunkOffsets(resent); len(got) != 1 || got[0] != 2*testChunkBytes {
		t.Fatalf("after the connection loss: %v", got)
	}
	for _, out := range resent {
		if out.Message.Kind == MessageSnapshotChunk && out.Message.Index != index {
			t.Fatal("the transfer of a newer snapshot was started")
		}
	}
	p.exchange(resent)
	for range 4 {
		p.now += 100
		p.primary.Tick(p.now, true)
		p.exchange(p.primary.TakeOutput().Messages)
	}
	if !p.caughtUp() || string(p.backup.machine.(*blobMachine).last) != "newer" {
		t.Fatal("the backup has not caught up")
	}
}

// A backup that restarts during a transfer is sent the same snapshot from its beginning.
func TestRestartedBackupGetsSameSnapshot(t *testing.T) {
	p := newTransferPair(t)
	sent := p.beginTransfer()
	for _, out := range sent {
		p.backup.Step(1, out.Message, p.now)
	}
	for _, out := range p.backup.TakeOutput().Messages {
		p.primary.Step(2, out.Message, p.now)
	}
	p.startBackup()
	p.exchange(p.primary.TakeOutput().Messages)
	for range 4 {
		p.now += 100
		p.primary.Tick(p.now, true)
		p.exchange(p.primary.TakeOutput().Messages)
	}
	if !p.caughtUp() || !bytes.Equal(p.backup.machine.(*blobMachine).last, p.state) {
		t.Fatal("the backup has not caught up")
	}
}

// unrestorableMachine is a state machine that can't restore any snapshot.
type unrestorableMachine struct{ blobMachine }

var errUnsupportedFormat = errors.New("of a newer format")

func (*unrestorableMachine) Restore([]byte) error { return errUnsupportedFormat }

// A snapshot that the backup can't restore is reported once and is not sent repeatedly.
func TestUnrestorableSnapshotIsReportedOnce(t *testing.T) {
	p := newTransferPair(t)
	p.backup.machine = &unrestorableMachine{}
	var reported []*RestoreError
	sentBytes := 0
	toBackup := p.beginTransfer()
	for range 600 { // a minute
		p.now += 100
		for _, out := range toBackup {
			sentBytes += len(out.Message.Chunk)
			p.backup.Step(1, out.Message, p.now)
		}
		output := p.backup.TakeOutput()
		reported = append(reported, output.Unrestorable...)
		for _, out := range output.Messages {
			p.primary.Step(2, out.Message, p.now)
		}
		p.primary.Tick(p.now, true)
		toBackup = p.primary.TakeOutput().Messages
	}
	if len(reported) != 1 || !errors.Is(reported[0], errUnsupportedFormat) || !errors.Is(reported[0], codes.Malformed) {
		t.Fatalf("reported %v", reported)
	}
	if limit := 4 * len(p.state); sentBytes > limit {
		t.Fatalf("%d bytes were sent for a snapshot of %d", sentBytes, len(p.state))
	}
}

// A corrupt chunk is detected by the checksum, and nothing is installed.
func TestCorruptSnapshotIsNotInstalled(t *testing.T) {
	p := newTransferPair(t)
	p.now = 2001
	state := append([]byte(nil), p.state...)
	message := singleChunkSnapshot(1, 4, 1, state)
	state[5] ^= 1
	p.backup.Step(1, message, p.now)
	if p.backup.AppliedIndex() != 0 || len(p.backup.TakeOutput().Writes) != 0 {
		t.Fatal("a corrupt snapshot was installed")
	}
}

// Two groups that share one slot send their snapshots one after the other. The transfer to a silent replica releases the slot.
func TestTransfersShareSlots(t *testing.T) {
	slots := NewTransferSlots(1)
	first, second := newTransferPair(t), newTransferPair(t)
	first.primary.options.TransferSlots = slots
	second.primary.options.TransferSlots = slots
	if got := chunkOffsets(first.beginTransfer()); len(got) != windowChunks {
		t.Fatalf("the first group sent %v", got)
	}
	if got := chunkOffsets(second.beginTransfer()); len(got) != 0 {
		t.Fatalf("the second group sent %v without a slot", got)
	}
	first.primary.Tick(first.now+slotReleaseAfter+1, true)
	second.primary.Step(2, Message{Kind: MessageLogMismatch, Epoch: 1, Index: 0}, second.now)
	second.primary.Tick(second.now+1, true)
	if got := chunkOffsets(second.primary.TakeOutput().Messages); len(got) == 0 {
		t.Fatal("the transfer to a silent replica keeps the slot")
	}
}

// The transfer to a replica that is silent for transferAbandonAfter is abandoned, so that its snapshot and the entries after it
// are not kept.
func TestTransferToSilentReplicaIsAbandoned(t *testing.T) {
	p := newTransferPair(t)
	p.beginTransfer()
	p.primary.Tick(p.now+transferAbandonAfter+1, true)
	if p.primary.peer(2).transfer != nil {
		t.Fatal("the snapshot is still kept")
	}
}

// A transfer that the log outgrows is cancelled, so that memory stays bounded, and the next one is delayed.
func TestTransferThatTheLogOutgrowsIsCancelled(t *testing.T) {
	p := newTransferPair(t)
	p.beginTransfer()
	for range 10 {
		p.propose(bytes.Repeat([]byte("y"), 3000))
		p.primary.Trim()
	}
	if p.primary.peer(2).transfer != nil || retainedBytes(p.primary) > 2*4000 {
		t.Fatalf("%d bytes are kept", retainedBytes(p.primary))
	}
	if got := chunkOffsets(p.beginTransfer()); len(got) != 0 {
		t.Fatalf("sent again at once: %v", got)
	}
	p.now += 2 * transferBackoffFirst
	if got := chunkOffsets(p.beginTransfer()); len(got) != windowChunks {
		t.Fatalf("not sent again later: %v", got)
	}
}

// A replica whose log ends before an entry that it acknowledged is reported, and no longer counts as having the lost entries.
func TestReplicaThatLostAcknowledgedEntriesIsReported(t *testing.T) {
	g := newPrimaryOfTwo(t, Options{})
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}}, 11)
	index := g.Propose([]byte("a"), 12)
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: index}, 13)
	g.TakeOutput()
	g.Step(2, Message{Kind: MessageLogMismatch, Epoch: 2, Index: 1}, 14)
	output := g.TakeOutput()
	if len(output.Regressed) != 1 || output.Regressed[0] != 2 {
		t.Fatalf("reported: %v", output.Regressed)
	}
	g.MarkDurable(index, 1, 15)
	if g.AppliedIndex() >= index {
		t.Fatal("committed based on the acknowledgement of a replica that lost the entry")
	}
}

// A chunk from the primary of an older epoch is rejected, and the sender is notified.
func TestSnapshotOfOlderEpochIsRejected(t *testing.T) {
	g, machine := newBackup(t)
	g.SetView(View{Epoch: 5, Primary: 3, InSync: []uint64{3}, Replicas: []uint64{2, 3}}, 10)
	g.TakeOutput()
	state := (&historyMachine{applied: []string{"old"}}).Snapshot()
	g.Step(1, singleChunkSnapshot(4, 7, 4, state), 11)
	output := g.TakeOutput()
	if len(machine.applied) != 0 || g.AppliedIndex() != 0 || len(output.Writes) != 0 {
		t.Fatalf("installed: %v", machine.applied)
	}
	if len(output.Messages) != 1 || output.Messages[0].Message.Kind != MessageStaleEpoch || output.Messages[0].Message.Epoch != 5 {
		t.Fatalf("the sender is sent %+v", output.Messages)
	}
}
