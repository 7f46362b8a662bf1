package statemachine

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The bytes in testdata/recorded are as the code of commit 1895881 wrote them: logs and snapshots on disks hold them, and so
// does what copies of one group send each other.

// recordedBatch has an entry of each kind, with all that it may carry.
func recordedBatch() *Batch {
	b := &Batch{Clock: 1234.56789, By: 0xdeadbeef01, Nth: 1 << 40}
	for kind := Tick; kind < kinds; kind++ {
		n := uint64(kind)
		b.Entries = append(b.Entries, Entry{
			Kind: kind, Session: "a01.ff.3.1", Number: 100 + n, Low: 90 + n, Name: "name-" + kind.String(),
			Amount: 1.5 + float64(n), Life: 60, Holder: "edge-3.7.1", Order: 1<<33 + n, Places: 0.1, Scope: "pool-a", Clock: 1234.5,
		})
	}
	b.Entries = append(b.Entries, Entry{Kind: Add, Name: "bare", Amount: -2})
	return b
}

// recordedLife is what a group was asked for over some time, so that each part of its state holds something.
func recordedLife() (all []*Batch) {
	at := func(clock float64, entries ...Entry) {
		all = append(all, &Batch{Clock: clock, Entries: entries, By: 513, Nth: uint64(len(all) + 1)})
	}
	at(0.5, Entry{Kind: Open, Session: "s1"}, Entry{Kind: Open, Session: "s2"}, Entry{Kind: Renew, Holder: "edge-dead.1", Life: 1},
		Entry{Kind: Renew, Holder: "edge-alive.1", Life: 60})
	at(0.75, Entry{Kind: Put, Holder: "edge-dead.1", Name: "shared", Amount: 10, Places: 4, Order: 1, Life: 60},
		Entry{Kind: Put, Holder: "edge-alive.1", Name: "shared", Amount: 7.5, Places: 1.25, Order: 1, Life: 60},
		Entry{Kind: Owe, Holder: "edge-dead.1", Name: "shared", Amount: 9, Order: 2, Life: 60},
		Entry{Kind: Owe, Holder: "edge-dead.1", Name: "closed", Amount: 3, Order: 3, Life: 30},
		Entry{Kind: Owe, Holder: "edge-alive.1", Name: "shared", Amount: 8.125, Order: 2, Life: 60})
	for i := range 8 {
		n := uint64(i)
		at(1+float64(i)/8, Entry{Kind: Add, Session: "s1", Number: n, Low: n / 2, Name: fmt.Sprint("count-", i%3), Amount: 0.1 * float64(i), Life: 45},
			Entry{Kind: Mark, Session: "s2", Number: n, Name: fmt.Sprint("invocation-", i), Holder: "edge-alive.1", Scope: []string{"", "pool-a"}[i%2], Life: 600})
	}
	at(2.5, Entry{Kind: Mark, Session: "s2", Number: 20, Name: "invocation-0", Holder: "edge-other.1", Life: 600},
		Entry{Kind: Unmark, Name: "invocation-1", Holder: "edge-alive.1"},
		Entry{Kind: Use, Holder: "edge-alive.1/0", Name: "gold 0011", Amount: 12.25, Order: 1},
		Entry{Kind: Use, Holder: "edge-dead.1/0", Name: "gold 0011", Amount: 2, Order: 1},
		Entry{Kind: Use, Holder: "edge-dead.1/0", Name: "free 0012", Amount: 1e-3, Order: 1},
		Entry{Kind: Take, Session: "s1", Number: 30, Low: 6, Order: 1})
	at(6, Entry{Kind: Tick}, Entry{Kind: Close, Holder: "edge-dead.1", Name: "closed", Amount: 3, Life: 20},
		Entry{Kind: Paid, Holder: "edge-dead.1", Name: "closed", Order: 3},
		Entry{Kind: Use, Holder: "edge-alive.1/0", Name: "gold 0011", Amount: 20, Order: 2},
		Entry{Kind: Put, Session: "s1", Number: 31, Low: 6, Holder: "edge-dead.1", Name: "shared", Amount: 11, Order: 5, Life: 60})
	return all
}

func recordedState() *State {
	s := New()
	for _, b := range recordedLife() {
		s.Apply(b)
	}
	return s
}

func recorded(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestBatchesAreTheRecordedBytes(t *testing.T) {
	for name, batch := range map[string]*Batch{"batch": recordedBatch(), "batch-empty": {}} {
		want := recorded(t, name)
		if got := batch.Bytes(); !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as\n%x\nrecorded is\n%x", name, got, want)
		}
		back, err := ReadBatch(want)
		if err != nil {
			t.Fatal(name, err)
		}
		if !reflect.DeepEqual(back, batch) {
			t.Errorf("%s: the recorded bytes are read as\n%+v\nwanted is\n%+v", name, back, batch)
		}
	}
}

func TestSavedStateIsTheRecordedBytes(t *testing.T) {
	for name, state := range map[string]*State{"state": recordedState(), "state-empty": New()} {
		want := recorded(t, name)
		if got := state.Save(); !bytes.Equal(got, want) {
			t.Errorf("%s: saved as\n%x\nrecorded is\n%x", name, got, want)
		}
		back, err := Restore(want)
		if err != nil {
			t.Fatal(name, err)
		}
		if again := back.Save(); !bytes.Equal(again, want) {
			t.Errorf("%s: restored and saved again as\n%x\nrecorded is\n%x", name, again, want)
		}
	}
}

// What is held after the recorded bytes were read is what was held before, and answers as it did.
func TestRecordedStateAnswersAsBefore(t *testing.T) {
	s, err := Restore(recorded(t, "state"))
	if err != nil {
		t.Fatal(err)
	}
	if total, ok := s.Total("shared"); !ok || total != 13.5 || s.Own("shared", "edge-alive.1") != 7.5 {
		t.Errorf("shared stands at %v (%v), own part %v", total, ok, s.Own("shared", "edge-alive.1"))
	}
	if total, ok := s.Total("closed"); !ok || total != 3 {
		t.Errorf("closed stands at %v (%v)", total, ok)
	}
	want := []Debt{{Holder: "edge-dead.1", Name: "shared", Amount: 9, Life: 54.75, Order: 2}}
	if got := s.Open(64); !reflect.DeepEqual(got, want) {
		t.Errorf("debts of the dead are %+v, wanted is %+v", got, want)
	}
	if !s.Marked("invocation-0") || s.Marked("invocation-1") || !s.Marked("invocation-7") {
		t.Error("marks of deliveries are not as recorded")
	}
	replies := s.Apply(&Batch{Clock: 6, Entries: []Entry{
		{Kind: Add, Session: "s1", Number: 7, Name: "count-1", Amount: 99, Life: 45}, // told again: answered as at first
		{Kind: Mark, Session: "s2", Number: 40, Name: "invocation-0", Holder: "edge-other.1", Life: 600},
		{Kind: Take, Order: 1},
		{Kind: Take, Order: 2},
	}})
	if r := replies[0]; r.Code != Done || r.Total != 1.2000000000000002 {
		t.Errorf("an add told again is answered %+v", r)
	}
	if r := replies[1]; r.Code != Known || r.Who != "edge-alive.1" {
		t.Errorf("a mark held by another is answered %+v", r)
	}
	first := []Used{{"free 0012", 1e-3}, {"gold 0011", 14.25}}
	if r := replies[2]; r.Code != Done || !reflect.DeepEqual(r.Uses, first) {
		t.Errorf("the batch handed out last is %+v", r)
	}
	if r := replies[3]; r.Code != Done || !reflect.DeepEqual(r.Uses, []Used{{"gold 0011", 7.75}}) {
		t.Errorf("the next batch is %+v", r)
	}
}
