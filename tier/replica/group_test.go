package replica

import (
	"hash/crc32"
	"testing"
)

func newBackup(t *testing.T) (*Group, *historyMachine) {
	t.Helper()
	machine := &historyMachine{}
	g, err := NewGroup(2, machine, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return g, machine
}

func appendFrom(epoch, index, prevEpoch, commit uint64, entries ...Entry) Message {
	return Message{Kind: MessageAppend, Epoch: epoch, Index: index, PrevEpoch: prevEpoch, Commit: commit, Entries: entries}
}

// singleChunkSnapshot returns the message for a snapshot that fits into one chunk.
func singleChunkSnapshot(epoch, index, entryEpoch uint64, state []byte) Message {
	return Message{
		Kind: MessageSnapshotChunk, Epoch: epoch, Index: index, PrevEpoch: entryEpoch, Commit: index,
		Total: uint32(len(state)), Checksum: crc32.Checksum(state, checksumTable), Chunk: state,
	}
}

// acks takes a group's output and returns the indexes that it acknowledged.
func acks(g *Group) []uint64 {
	var positions []uint64
	for _, out := range g.TakeOutput().Messages {
		if out.Message.Kind == MessageAck {
			positions = append(positions, out.Message.Index)
		}
	}
	return positions
}

// A message commits no entries after those that it covers: the backup may have later entries that the primary lacks.
func TestBackupCommitsOnlyMatchingEntries(t *testing.T) {
	g, machine := newBackup(t)
	g.Step(1, appendFrom(1, 0, 0, 0, Entry{1, 1, []byte("a")}, Entry{2, 1, []byte("b")}, Entry{3, 1, []byte("c")}), 10)
	g.MarkDurable(3, 1, 11)
	g.Step(3, appendFrom(2, 1, 1, 3), 12)
	if len(machine.applied) != 1 || machine.applied[0] != "a" {
		t.Fatalf("applied %v", machine.applied)
	}
}

// Entries that become durable after a change of the epoch are acknowledged only once they are known to match the new primary's log.
func TestBackupAcknowledgesOnlyMatchingEntries(t *testing.T) {
	g, _ := newBackup(t)
	g.Step(1, appendFrom(1, 0, 0, 0, Entry{1, 1, []byte("a")}, Entry{2, 1, []byte("b")}), 10)
	acks(g)
	g.SetView(View{Epoch: 2, Primary: 3, InSync: []uint64{2, 3}, Replicas: []uint64{2, 3}}, 11)
	g.MarkDurable(2, 1, 12)
	if got := acks(g); len(got) != 0 {
		t.Fatalf("acknowledged %v to the new primary", got)
	}
	g.Step(3, appendFrom(2, 1, 1, 0, Entry{2, 2, nil}), 13)
	g.MarkDurable(2, 2, 14)
	if got := acks(g); len(got) != 1 || got[0] != 2 {
		t.Fatalf("acknowledged %v", got)
	}
}

// The entries that a snapshot covers are acknowledged once the snapshot is on disk.
func TestSnapshotIsAcknowledgedWhenDurable(t *testing.T) {
	g, _ := newBackup(t)
	state := (&historyMachine{applied: []string{"a", "b"}}).Snapshot()
	g.Step(1, singleChunkSnapshot(1, 2, 1, state), 10)
	g.Step(1, appendFrom(1, 2, 1, 2), 11)
	if got := acks(g); len(got) != 0 {
		t.Fatalf("acknowledged %v before the write", got)
	}
	g.MarkDurable(2, 1, 12)
	if got := acks(g); len(got) != 1 || got[0] != 2 {
		t.Fatalf("acknowledged %v", got)
	}
}

// A snapshot that arrives late doesn't remove acknowledged entries.
func TestLateSnapshotKeepsEntriesAfterIt(t *testing.T) {
	g, machine := newBackup(t)
	g.Step(1, appendFrom(1, 0, 0, 0, Entry{1, 1, []byte("a")}, Entry{2, 1, []byte("b")}, Entry{3, 1, []byte("c")}), 10)
	g.MarkDurable(3, 1, 11)
	acks(g)
	state := (&historyMachine{applied: []string{"a", "b"}}).Snapshot()
	for range 2 { // the second one arrives after the entries that it covers were applied
		g.Step(1, singleChunkSnapshot(1, 2, 1, state), 12)
		if g.LastIndex() != 3 || len(machine.applied) != 2 {
			t.Fatalf("last entry %d, applied %v", g.LastIndex(), machine.applied)
		}
		if output := g.TakeOutput(); len(output.Writes) != 0 {
			t.Fatalf("the snapshot was written: %+v", output.Writes)
		}
	}
	g.Step(1, appendFrom(1, 3, 1, 3), 13)
	if len(machine.applied) != 3 {
		t.Fatalf("applied %v", machine.applied)
	}
}

// A process that restarts doesn't become primary of the epoch that it led before, because it may have sent entries that it no
// longer has.
func TestRestartedPrimaryDoesNotLeadItsPreviousEpoch(t *testing.T) {
	g, err := NewGroup(1, &historyMachine{}, Snapshot{}, []Entry{{1, 4, nil}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	view := View{Epoch: 4, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1}}
	if g.SetView(view, 10); g.IsPrimary() {
		t.Fatal("it leads the epoch that it led before")
	}
	view.Epoch = 5
	if g.SetView(view, 11); !g.IsPrimary() {
		t.Fatal("it does not lead the next epoch")
	}
}

// A primary that waits for a replica that will not come back can still admit another one.
func TestReplicaCanBeAdmittedWhilePrimaryWaits(t *testing.T) {
	machine := &historyMachine{}
	g, err := NewGroup(1, machine, Snapshot{}, []Entry{{1, 1, []byte("a")}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 3}, Replicas: []uint64{1, 2, 3}}, 10)
	g.MarkDurable(2, 2, 11)
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 1}, 12)
	if got := g.CaughtUp(13); len(got) != 0 {
		t.Fatalf("caught up without the entry that opened the epoch: %v", got)
	}
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 2}, 13)
	if got := g.CaughtUp(13); len(got) != 1 || got[0] != 2 {
		t.Fatalf("caught up: %v", got)
	}
	g.Admit(2)
	g.SetView(View{Epoch: 3, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}}, 14)
	if len(machine.applied) != 1 || !g.IsReady() {
		t.Fatalf("applied %v, ready %v", machine.applied, g.IsReady())
	}
}

// A replica that had all entries when it was removed from the in-sync set is not admitted again while it is silent.
func TestSilentReplicaIsNotCaughtUp(t *testing.T) {
	g, err := NewGroup(1, &historyMachine{}, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}}, 10)
	g.MarkDurable(1, 1, 11)
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 12)
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2}}, 900)
	if got := g.CaughtUp(900); len(got) != 0 {
		t.Fatalf("caught up although silent: %v", got)
	}
	g.TakeOutput()
	g.Tick(1100, false)
	if output := g.TakeOutput(); len(output.Messages) != 1 {
		t.Fatalf("the silent replica is not sent exactly one heartbeat: %+v", output.Messages)
	}
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 1}, 1101)
	if got := g.CaughtUp(1102); len(got) != 1 {
		t.Fatalf("not caught up although it responds: %v", got)
	}
}

// Commits wait for a replica from the moment it is admitted.
func TestCommitsWaitForAdmittedReplica(t *testing.T) {
	machine := &historyMachine{}
	g, err := NewGroup(1, machine, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2}}, 10)
	g.MarkDurable(1, 1, 11)
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 12)
	if got := g.CaughtUp(13); len(got) != 1 {
		t.Fatalf("caught up: %v", got)
	}
	g.Admit(2)
	index := g.Propose([]byte("a"), 13)
	g.MarkDurable(index, 1, 14)
	if len(machine.applied) != 0 {
		t.Fatal("committed without the replica that is being admitted")
	}
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: index}, 15)
	if len(machine.applied) != 1 {
		t.Fatal("not committed although all replicas have it")
	}
}
