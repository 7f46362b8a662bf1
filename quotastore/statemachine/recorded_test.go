package statemachine

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The code of commit 1895881 wrote the bytes in testdata/recorded. The same encoding is in logs and snapshots on disks, and in
// messages between the replicas of a group, so it must not change.

// recordedBatch returns a batch with a command of each kind that has all fields set, and one command with few fields.
func recordedBatch() *Batch {
	b := &Batch{Clock: 1234.56789, Proposer: 0xdeadbeef01, Sequence: 1 << 40}
	for kind := Tick; kind < kindCount; kind++ {
		n := uint64(kind)
		b.Commands = append(b.Commands, Command{
			Kind: kind, Session: "a01.ff.3.1", Sequence: 100 + n, AckedBelow: 90 + n, Key: "name-" + kind.String(),
			Amount: 1.5 + float64(n), TTL: 60, Holder: "edge-3.7.1", Version: 1<<33 + n, Reserved: 0.1, Scope: "pool-a", Clock: 1234.5,
		})
	}
	b.Commands = append(b.Commands, Command{Kind: Add, Key: "bare", Amount: -2})
	return b
}

// recordedHistory returns batches after which no part of a group's state is empty.
func recordedHistory() (all []*Batch) {
	at := func(clock float64, entries ...Command) {
		all = append(all, &Batch{Clock: clock, Commands: entries, Proposer: 513, Sequence: uint64(len(all) + 1)})
	}
	at(0.5, Command{Kind: OpenSession, Session: "s1"}, Command{Kind: OpenSession, Session: "s2"}, Command{Kind: RenewLease, Holder: "edge-dead.1", TTL: 1},
		Command{Kind: RenewLease, Holder: "edge-alive.1", TTL: 60})
	at(0.75, Command{Kind: ReportUsage, Holder: "edge-dead.1", Key: "shared", Amount: 10, Reserved: 4, Version: 1, TTL: 60},
		Command{Kind: ReportUsage, Holder: "edge-alive.1", Key: "shared", Amount: 7.5, Reserved: 1.25, Version: 1, TTL: 60},
		Command{Kind: RecordUnreported, Holder: "edge-dead.1", Key: "shared", Amount: 9, Version: 2, TTL: 60},
		Command{Kind: RecordUnreported, Holder: "edge-dead.1", Key: "closed", Amount: 3, Version: 3, TTL: 30},
		Command{Kind: RecordUnreported, Holder: "edge-alive.1", Key: "shared", Amount: 8.125, Version: 2, TTL: 60})
	for i := range 8 {
		n := uint64(i)
		at(1+float64(i)/8, Command{Kind: Add, Session: "s1", Sequence: n, AckedBelow: n / 2, Key: fmt.Sprint("count-", i%3), Amount: 0.1 * float64(i), TTL: 45},
			Command{Kind: AcquireMarker, Session: "s2", Sequence: n, Key: fmt.Sprint("invocation-", i), Holder: "edge-alive.1", Scope: []string{"", "pool-a"}[i%2], TTL: 600})
	}
	at(2.5, Command{Kind: AcquireMarker, Session: "s2", Sequence: 20, Key: "invocation-0", Holder: "edge-other.1", TTL: 600},
		Command{Kind: ReleaseMarker, Key: "invocation-1", Holder: "edge-alive.1"},
		Command{Kind: MeterUsage, Holder: "edge-alive.1/0", Key: "gold 0011", Amount: 12.25, Version: 1},
		Command{Kind: MeterUsage, Holder: "edge-dead.1/0", Key: "gold 0011", Amount: 2, Version: 1},
		Command{Kind: MeterUsage, Holder: "edge-dead.1/0", Key: "free 0012", Amount: 1e-3, Version: 1},
		Command{Kind: CollectUsage, Session: "s1", Sequence: 30, AckedBelow: 6, Version: 1})
	at(6, Command{Kind: Tick}, Command{Kind: RecoverUnreported, Holder: "edge-dead.1", Key: "closed", Amount: 3, TTL: 20},
		Command{Kind: ClearUnreported, Holder: "edge-dead.1", Key: "closed", Version: 3},
		Command{Kind: MeterUsage, Holder: "edge-alive.1/0", Key: "gold 0011", Amount: 20, Version: 2},
		Command{Kind: ReportUsage, Session: "s1", Sequence: 31, AckedBelow: 6, Holder: "edge-dead.1", Key: "shared", Amount: 11, Version: 5, TTL: 60})
	return all
}

func recordedState() *State {
	s := New()
	for _, b := range recordedHistory() {
		s.Apply(b)
	}
	return s
}

func recorded(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata/recorded", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestBatchesMatchRecordedBytes(t *testing.T) {
	for name, batch := range map[string]*Batch{"batch": recordedBatch(), "batch-empty": {}} {
		want := recorded(t, name)
		if got := batch.Encode(); !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as\n%x\nwant the recorded bytes\n%x", name, got, want)
		}
		decoded, err := DecodeBatch(want)
		if err != nil {
			t.Fatal(name, err)
		}
		if !reflect.DeepEqual(decoded, batch) {
			t.Errorf("%s: the recorded bytes decode to\n%+v\nwant\n%+v", name, decoded, batch)
		}
	}
}

func TestSnapshotsMatchRecordedBytes(t *testing.T) {
	for name, state := range map[string]*State{"state": recordedState(), "state-empty": New()} {
		want := recorded(t, name)
		if got := state.Snapshot(); !bytes.Equal(got, want) {
			t.Errorf("%s: snapshot is\n%x\nwant the recorded bytes\n%x", name, got, want)
		}
		restored, err := Restore(want)
		if err != nil {
			t.Fatal(name, err)
		}
		if again := restored.Snapshot(); !bytes.Equal(again, want) {
			t.Errorf("%s: snapshot of the restored state is\n%x\nwant the recorded bytes\n%x", name, again, want)
		}
	}
}

// A state that is restored from the recorded snapshot must give the same totals and replies as the state that was recorded.
func TestRestoredRecordingGivesSameReplies(t *testing.T) {
	s, err := Restore(recorded(t, "state"))
	if err != nil {
		t.Fatal(err)
	}
	checkRecordedTotals(t, s)
	replies := s.Apply(&Batch{Clock: 6, Commands: []Command{
		{Kind: Add, Session: "s1", Sequence: 7, Key: "count-1", Amount: 99, TTL: 45}, // a retry, which gets the first reply
		{Kind: AcquireMarker, Session: "s2", Sequence: 40, Key: "invocation-0", Holder: "edge-other.1", TTL: 600},
		{Kind: CollectUsage, Version: 1},
		{Kind: CollectUsage, Version: 2},
	}})
	if r := replies[0]; r.Code != Done || r.Total != 1.2000000000000002 {
		t.Errorf("reply to a retried add: %+v", r)
	}
	if r := replies[1]; r.Code != MarkerHeld || r.MarkerHolder != "edge-alive.1" {
		t.Errorf("reply for a marker held by another holder: %+v", r)
	}
	first := []CustomerUsage{{"free 0012", 1e-3}, {"gold 0011", 14.25}}
	if r := replies[2]; r.Code != Done || !reflect.DeepEqual(r.Usage, first) {
		t.Errorf("the last batch is %+v", r)
	}
	if r := replies[3]; r.Code != Done || !reflect.DeepEqual(r.Usage, []CustomerUsage{{"gold 0011", 7.75}}) {
		t.Errorf("the next batch is %+v", r)
	}
}

func checkRecordedTotals(t *testing.T, s *State) {
	t.Helper()
	if total, ok := s.Total("shared"); !ok || total != 13.5 || s.HolderTotal("shared", "edge-alive.1") != 7.5 {
		t.Errorf("shared has total %v (%v), of which edge-alive.1 has added %v", total, ok, s.HolderTotal("shared", "edge-alive.1"))
	}
	if total, ok := s.Total("closed"); !ok || total != 3 {
		t.Errorf("closed has total %v (%v)", total, ok)
	}
	want := []UnreportedUsage{{Holder: "edge-dead.1", Key: "shared", Amount: 9, TTL: 54.75, Version: 2}}
	if got := s.UnrecoveredUsage(64); !reflect.DeepEqual(got, want) {
		t.Errorf("unrecovered usage is %+v, want %+v", got, want)
	}
	if !s.HasMarker("invocation-0") || s.HasMarker("invocation-1") || !s.HasMarker("invocation-7") {
		t.Error("markers are not as recorded")
	}
}
