package server

import (
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
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

func snapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: statemachine.New().Snapshot(), Metadata: &pb.SnapshotMetadata{
		Index:     new(index),
		Term:      new(uint64(1)),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}},
	}}
}

func hardState(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: new(term), Vote: new(uint64(2)), Commit: new(commit)}
}

// writeHistory is what a server wrote over some time: a bootstrap, entries, entries replaced by another leader's, a snapshot in
// their place.
var writeHistory = []replication.Write{
	{Group: 3, HardState: hardState(1, 1), Snapshot: snapshot(1), ReplaceLog: true},
	{Group: 5, HardState: hardState(1, 1), Snapshot: snapshot(1), ReplaceLog: true},
	{Group: 3, Entries: entries(2, 40, 1)},
	{Group: 5, HardState: hardState(2, 9), Entries: entries(2, 9, 2)},
	{Group: 3, HardState: hardState(4, 30), Entries: entries(31, 35, 4)},
	{Group: 3, Snapshot: snapshot(30), CompactTo: 20},
	{Group: 3, HardState: hardState(4, 35), Entries: entries(36, 50, 4)},
}

// afterHistory is what a storage has to return once writeHistory is in it.
func afterHistory() map[int]*replication.PersistentState {
	want := map[int]*replication.PersistentState{}
	for i := range writeHistory {
		group := writeHistory[i].Group
		if want[group] == nil {
			want[group] = &replication.PersistentState{}
		}
		want[group].Apply(&writeHistory[i])
	}
	for group := range want {
		want[group] = want[group].AfterSnapshot()
	}
	return want
}

// writeStorage writes writeHistory to a new storage, one transaction each.
func writeStorage(t *testing.T, dir string) (id identity, want map[int]*replication.PersistentState) {
	t.Helper()
	s, saved, err := openStorage(dir, time.Now())
	if err != nil || len(saved) != 0 {
		t.Fatal(saved, err)
	}
	defer s.close()
	if err := s.setCluster(77); err != nil {
		t.Fatal(err)
	}
	for i := range writeHistory {
		if err := s.write(writeHistory[i : i+1]); err != nil {
			t.Fatal(err)
		}
	}
	return s.identity(), afterHistory()
}

func sameGroups(a, b map[int]*replication.PersistentState) bool {
	return maps.EqualFunc(a, b, func(a, b *replication.PersistentState) bool {
		return reflect.DeepEqual(texts(a), texts(b))
	})
}

// texts prints a state's messages, which compare as texts only: they have fields of the library's own.
func texts(s *replication.PersistentState) (all []string) {
	all = append(all, s.HardState.String(), s.Snapshot.String())
	for _, e := range s.Entries {
		all = append(all, e.String())
	}
	return all
}

func TestReopenedStorageReturnsAllThatWasWritten(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, want := writeStorage(t, dir)
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.identity() != id || s.discarded != nil || !sameGroups(saved, want) {
		t.Fatalf("%+v, discarded: %v\n%v\n%v", s.identity(), s.discarded, saved, want)
	}
}

func TestStorageOfARunningProcessIsInUse(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	writeStorage(t, dir)
	s, _, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if _, _, err := openStorage(dir, time.Now()); !errors.Is(err, ErrInUse) {
		t.Fatalf("a second process on one directory: %v", err)
	}
}

// corruptCopy flips up to three bytes of a file, anywhere, and now and then tears its end off.
func corruptCopy(random *rand.Rand, original []byte) []byte {
	corrupt := slices.Clone(original)
	for range 1 + random.IntN(3) {
		corrupt[random.IntN(len(corrupt))] ^= byte(1 + random.IntN(255))
	}
	if random.IntN(4) == 0 {
		corrupt = corrupt[:random.IntN(len(corrupt))]
	}
	return corrupt
}

// Either a flipped byte changes nothing, or none of the data is believed and the replica has another incarnation, so that it
// never votes as if it remembered.
func TestCorruptDatabaseIsNeverBelieved(t *testing.T) {
	leakcheck.Check(t)
	from := t.TempDir()
	id, want := writeStorage(t, from)
	database := readFile(t, filepath.Join(from, databaseName))
	counter := readFile(t, filepath.Join(from, counterName))
	random, discarded := rand.New(rand.NewPCG(1, 2)), 0
	for range 300 {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, databaseName), corruptCopy(random, database))
		writeFile(t, filepath.Join(dir, counterName), counter)
		s, saved, err := openStorage(dir, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if s.discarded == nil && (s.identity() != id || !sameGroups(saved, want)) {
			t.Fatalf("corrupt data was believed: %+v %v", s.identity(), saved)
		}
		if s.discarded != nil {
			discarded++
			checkSetAside(t, dir, s, saved, id)
		}
		s.close()
	}
	if discarded < 50 {
		t.Fatalf("only %d of 300 files were found to be corrupt", discarded)
	}
}

// checkSetAside checks that a replica whose data was corrupt begins empty in a new incarnation, and the data is kept.
func checkSetAside(t *testing.T, dir string, s *storage, saved map[int]*replication.PersistentState, former identity) {
	t.Helper()
	if s.identity().incarnation == former.incarnation || len(saved) > 0 {
		t.Fatal("the data is corrupt, and the replica goes on in its old incarnation")
	}
	aside, err := filepath.Glob(filepath.Join(dir, "held.db.spoilt-*"))
	if err != nil || len(aside) != 1 || s.discarded.SetAside != aside[0] {
		t.Fatalf("the corrupt database was not set aside: %v (%v), %+v", aside, err, s.discarded)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

func writeFile(t *testing.T, path string, contents []byte) {
	t.Helper()
	if err := os.WriteFile(path, contents, 0o644); err != nil {
		t.Fatal(err)
	}
}

// The newest transaction is lost as a whole, and the database looks intact: the number beside it says that a later one was made.
func TestRolledBackDatabaseIsDiscarded(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, _ := writeStorage(t, dir)
	path := filepath.Join(dir, counterName)
	last := binary.BigEndian.Uint64(readFile(t, path))
	writeFile(t, path, binary.BigEndian.AppendUint64(nil, last+1))
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.identity().incarnation == id.incarnation || len(saved) > 0 {
		t.Fatalf("%+v goes on with %d groups", s.identity(), len(saved))
	}
	var rolledBack *rolledBackError
	if s.discarded == nil || !errors.As(s.discarded, &rolledBack) || rolledBack.stored != last || rolledBack.made != last+1 {
		t.Fatalf("discarded because of %v", s.discarded)
	}
}

func TestServersWithoutADirectoryHaveIncarnationsOfTheirOwn(t *testing.T) {
	leakcheck.Check(t)
	a, _, err := openStorage("", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b, _, err := openStorage("", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if a.identity().incarnation == b.identity().incarnation {
		t.Error("two processes without a directory have one incarnation")
	}
	if a.persistent() || a.write(writeHistory) != nil {
		t.Error("a storage without a directory is none, and takes writes")
	}
}

func TestLogTailsSurviveTheirEncoding(t *testing.T) {
	tails := []logTail{{group: 3, hardStateSum: 1, snapshotSum: 2, lastIndex: 3, lastTerm: 4}, {group: 255, lastIndex: 1 << 63}}
	encoded := encodeLogTails(tails)
	if got, err := decodeLogTails(encoded); err != nil || !slices.Equal(got, tails) {
		t.Errorf("decoded as %+v: %v", got, err)
	}
	if got, err := decodeLogTails(encoded[1:]); !errors.Is(err, errWrongLength) {
		t.Errorf("a torn encoding is decoded as %+v: %v", got, err)
	}
}
