package replica

import (
	"hash/crc32"
	"testing"
)

func newBackup(t *testing.T) (*Group, *journalMachine) {
	t.Helper()
	machine := &journalMachine{}
	g, err := NewGroup(2, machine, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return g, machine
}

func appendFrom(epoch, index, prevEpoch, commit uint64, entries ...Entry) Message {
	return Message{Kind: MessageAppend, Epoch: epoch, Index: index, PrevEpoch: prevEpoch, Commit: commit, Entries: entries}
}

// singleChunkSnapshot is a snapshot that fits into one chunk.
func singleChunkSnapshot(epoch, index, entryEpoch uint64, state []byte) Message {
	return Message{
		Kind: MessageSnapshotChunk, Epoch: epoch, Index: index, PrevEpoch: entryEpoch, Commit: index,
		Total: uint32(len(state)), Checksum: crc32.Checksum(state, checksumTable), Chunk: state,
	}
}

// acks are the positions that a group has acknowledged since the last look.
func acks(g *Group) []uint64 {
	var positions []uint64
	for _, out := range g.TakeOutput().Messages {
		if out.Message.Kind == MessageAck {
			positions = append(positions, out.Message.Index)
		}
	}
	return positions
}

// A backup may hold entries that the primary lacks behind those that the message speaks of: they are not committed by it.
func TestABackupCommitsOnlyWhatIsKnownToMatch(t *testing.T) {
	g, machine := newBackup(t)
	g.Step(1, appendFrom(1, 0, 0, 0, Entry{1, 1, []byte("a")}, Entry{2, 1, []byte("b")}, Entry{3, 1, []byte("c")}), 10)
	g.MarkDurable(3, 1, 11)
	g.Step(3, appendFrom(2, 1, 1, 3), 12)
	if len(machine.applied) != 1 || machine.applied[0] != "a" {
		t.Fatalf("applied %v", machine.applied)
	}
}

// What becomes durable after the epoch has changed is acknowledged only once the new primary's log is known to match.
func TestABackupAcknowledgesOnlyWhatIsKnownToMatch(t *testing.T) {
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

// A snapshot counts once it is on disk.
func TestASnapshotIsAcknowledgedWhenItIsDurable(t *testing.T) {
	g, _ := newBackup(t)
	state := (&journalMachine{applied: []string{"a", "b"}}).Snapshot()
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

// A snapshot that comes late takes nothing away that was acknowledged.
func TestALateSnapshotKeepsTheEntriesBehindIt(t *testing.T) {
	g, machine := newBackup(t)
	g.Step(1, appendFrom(1, 0, 0, 0, Entry{1, 1, []byte("a")}, Entry{2, 1, []byte("b")}, Entry{3, 1, []byte("c")}), 10)
	g.MarkDurable(3, 1, 11)
	acks(g)
	state := (&journalMachine{applied: []string{"a", "b"}}).Snapshot()
	for range 2 { // the second one comes when the entries it covers have been applied
		g.Step(1, singleChunkSnapshot(1, 2, 1, state), 12)
		if g.LastIndex() != 3 || len(machine.applied) != 2 {
			t.Fatalf("last entry %d, applied %v", g.LastIndex(), machine.applied)
		}
		if output := g.TakeOutput(); len(output.Writes) != 0 {
			t.Fatalf("the disk was replaced: %+v", output.Writes)
		}
	}
	g.Step(1, appendFrom(1, 3, 1, 3), 13)
	if len(machine.applied) != 3 {
		t.Fatalf("applied %v", machine.applied)
	}
}

// The process that led an epoch before its restart may have sent entries that it no longer knows.
func TestARestartedPrimaryDoesNotLeadItsFormerEpoch(t *testing.T) {
	g, err := NewGroup(1, &journalMachine{}, Snapshot{}, []Entry{{1, 4, nil}}, Options{})
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

// A primary that waits for a replica which will not come back can still take another one in.
func TestAReplicaCanBeAdmittedWhileThePrimaryWaits(t *testing.T) {
	machine := &journalMachine{}
	g, err := NewGroup(1, machine, Snapshot{}, []Entry{{1, 1, []byte("a")}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 3}, Replicas: []uint64{1, 2, 3}}, 10)
	g.MarkDurable(2, 2, 11)
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 1}, 12)
	if got := g.CaughtUp(13); len(got) != 0 {
		t.Fatalf("%v lacks the entry that opened the epoch", got)
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

// A replica that held everything when it was dropped is not admitted again while it is silent.
func TestASilentReplicaIsNotCaughtUp(t *testing.T) {
	g, err := NewGroup(1, &journalMachine{}, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}}, 10)
	g.MarkDurable(1, 1, 11)
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 12)
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2}}, 900)
	if got := g.CaughtUp(900); len(got) != 0 {
		t.Fatalf("admitted though silent: %v", got)
	}
	g.TakeOutput()
	g.Tick(1100, false)
	if output := g.TakeOutput(); len(output.Messages) != 1 {
		t.Fatalf("nobody asks whether it is back: %+v", output.Messages)
	}
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 1}, 1101)
	if got := g.CaughtUp(1102); len(got) != 1 {
		t.Fatalf("not admitted though it answers: %v", got)
	}
}

// An admitted replica counts from the moment it is admitted, and until the next epoch says otherwise.
func TestAnAdmittedReplicaCountsAtOnce(t *testing.T) {
	machine := &journalMachine{}
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
		t.Fatal("committed without the replica that is being taken in")
	}
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: index}, 15)
	if len(machine.applied) != 1 {
		t.Fatal("not committed though all have it")
	}
}
