package server

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"otterseam/harness/leakcheck"
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

func entries(from, to, term uint64) (all []*pb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &pb.Entry{Index: new(i), Term: new(term), Data: []byte("entry")})
	}
	return all
}

func snap(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: statemachine.New().Snapshot(), Metadata: &pb.SnapshotMetadata{
		Index: new(index), Term: new(uint64(1)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}},
	}}
}

func hard(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: new(term), Vote: new(uint64(2)), Commit: new(commit)}
}

// life is what a keeper wrote over some time: founded, entries, a tail replaced by another leader's, a snapshot in their place.
var life = []replication.Write{
	{Group: 3, HardState: hard(1, 1), Snapshot: snap(1), ReplaceLog: true},
	{Group: 5, HardState: hard(1, 1), Snapshot: snap(1), ReplaceLog: true},
	{Group: 3, Entries: entries(2, 40, 1)},
	{Group: 5, HardState: hard(2, 9), Entries: entries(2, 9, 2)},
	{Group: 3, HardState: hard(4, 30), Entries: entries(31, 35, 4)},
	{Group: 3, Snapshot: snap(30), CompactTo: 20},
	{Group: 3, HardState: hard(4, 35), Entries: entries(36, 50, 4)},
}

func written(t *testing.T, dir string) (id identity, want map[int]*replication.PersistentState) {
	t.Helper()
	s, saved, err := openStorage(dir, time.Now())
	if err != nil || len(saved) != 0 {
		t.Fatal(saved, err)
	}
	if err := s.setCluster(77); err != nil {
		t.Fatal(err)
	}
	want = map[int]*replication.PersistentState{}
	for i := range life {
		if err := s.write(life[i : i+1]); err != nil {
			t.Fatal(err)
		}
		g := life[i].Group
		if want[g] == nil {
			want[g] = &replication.PersistentState{}
		}
		want[g].Apply(&life[i])
	}
	for g := range want {
		want[g] = want[g].AfterSnapshot()
	}
	id = s.Identity()
	s.close()
	return id, want
}

func same(a, b map[int]*replication.PersistentState) bool {
	if len(a) != len(b) {
		return false
	}
	text := func(s *replication.PersistentState) (all []string) {
		all = append(all, s.HardState.String(), s.Snapshot.String())
		for _, e := range s.Entries {
			all = append(all, e.String())
		}
		return all
	}
	for g := range a {
		if b[g] == nil || !reflect.DeepEqual(text(a[g]), text(b[g])) {
			return false
		}
	}
	return true
}

// A keeper ends and starts again on its disk: it is the same one, and has all that it wrote.
func TestStartsAgainOnItsDisk(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, want := written(t, dir)
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.Identity() != id || s.discarded != "" || !same(saved, want) {
		t.Fatalf("%+v, spoilt %q\n%v\n%v", s.Identity(), s.discarded, saved, want)
	}
	if _, _, err := openStorage(dir, time.Now()); !errors.Is(err, ErrInUse) {
		t.Fatalf("a second process on one disk: %v", err)
	}
}

// Bytes of the file are flipped, anywhere: either nothing is different, or none of it is believed and the keeper has another
// life, so that it never votes as if it remembered.
func TestFlippedBytes(t *testing.T) {
	leakcheck.Check(t)
	from := t.TempDir()
	id, want := written(t, from)
	text, err := os.ReadFile(filepath.Join(from, "held.db"))
	if err != nil {
		t.Fatal(err)
	}
	count, err := os.ReadFile(filepath.Join(from, "held.count"))
	if err != nil {
		t.Fatal(err)
	}
	dice, set := rand.New(rand.NewPCG(1, 2)), 0
	for range 300 {
		dir := t.TempDir()
		bad := append([]byte(nil), text...)
		for range 1 + dice.IntN(3) {
			bad[dice.IntN(len(bad))] ^= byte(1 + dice.IntN(255))
		}
		if dice.IntN(4) == 0 { // torn: its end never got there
			bad = bad[:dice.IntN(len(bad))]
		}
		os.WriteFile(filepath.Join(dir, "held.db"), bad, 0o644)
		os.WriteFile(filepath.Join(dir, "held.count"), count, 0o644)
		s, saved, err := openStorage(dir, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if s.discarded == "" && (s.Identity() != id || !same(saved, want)) {
			t.Fatalf("spoilt bytes were believed: %+v %v", s.Identity(), saved)
		}
		if s.discarded != "" {
			set++
			if s.Identity().incarnation == id.incarnation || len(saved) > 0 {
				t.Fatal("a spoilt disk, and it goes on under its old life")
			}
			if aside, _ := filepath.Glob(filepath.Join(dir, "held.db.spoilt-*")); len(aside) != 1 {
				t.Fatal("what was spoilt is gone")
			}
		}
		s.close()
	}
	if set < 50 {
		t.Fatalf("only %d of 300 files were found to be spoilt", set)
	}
}

// The newest write is lost as a whole, and the file looks well: the count beside it says that a later one was made.
func TestRolledBack(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, _ := written(t, dir)
	var n [8]byte
	f, err := os.OpenFile(filepath.Join(dir, "held.count"), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	f.ReadAt(n[:], 0)
	f.WriteAt(binary.BigEndian.AppendUint64(nil, binary.BigEndian.Uint64(n[:])+1), 0)
	f.Close()
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.Identity().incarnation == id.incarnation || len(saved) > 0 || !strings.Contains(s.discarded, "was made") {
		t.Fatalf("%+v %q", s.Identity(), s.discarded)
	}
}

// Without a disk each process is another one.
func TestWithoutDisk(t *testing.T) {
	leakcheck.Check(t)
	a, _, err := openStorage("", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b, _, _ := openStorage("", time.Now())
	if a.Identity().incarnation == b.Identity().incarnation || a.persistent() || a.write(life) != nil {
		t.Fatal("two processes without a disk have one life")
	}
}
