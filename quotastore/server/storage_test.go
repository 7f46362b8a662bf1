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

// testWrites are the writes of a server in order: a bootstrap, entries, entries of another leader that replace some of them, and
// a snapshot that replaces entries.
var testWrites = []replication.Write{
	{Group: 3, HardState: hardState(1, 1), Snapshot: snapshot(1), ReplaceLog: true},
	{Group: 5, HardState: hardState(1, 1), Snapshot: snapshot(1), ReplaceLog: true},
	{Group: 3, Entries: entries(2, 40, 1)},
	{Group: 5, HardState: hardState(2, 9), Entries: entries(2, 9, 2)},
	{Group: 3, HardState: hardState(4, 30), Entries: entries(31, 35, 4)},
	{Group: 3, Snapshot: snapshot(30), CompactTo: 20},
	{Group: 3, HardState: hardState(4, 35), Entries: entries(36, 50, 4)},
}

// stateAfterWrites returns the state that a storage must return after testWrites were written.
func stateAfterWrites() map[int]*replication.PersistentState {
	want := map[int]*replication.PersistentState{}
	for i := range testWrites {
		group := testWrites[i].Group
		if want[group] == nil {
			want[group] = &replication.PersistentState{}
		}
		want[group].Apply(&testWrites[i])
	}
	for group := range want {
		want[group] = want[group].AfterSnapshot()
	}
	return want
}

// fillStorage creates a storage with testWrites, one transaction for each. It returns the identity and the expected state.
func fillStorage(t *testing.T, dir string) (id identity, want map[int]*replication.PersistentState) {
	t.Helper()
	s, saved, err := openStorage(dir, time.Now())
	if err != nil || len(saved) != 0 {
		t.Fatal(saved, err)
	}
	defer s.close()
	if err := s.setCluster(77); err != nil {
		t.Fatal(err)
	}
	for i := range testWrites {
		if err := s.write(testWrites[i : i+1]); err != nil {
			t.Fatal(err)
		}
	}
	return s.identity(), stateAfterWrites()
}

func equalStates(a, b map[int]*replication.PersistentState) bool {
	return maps.EqualFunc(a, b, func(a, b *replication.PersistentState) bool {
		return reflect.DeepEqual(messageTexts(a), messageTexts(b))
	})
}

// messageTexts returns the messages of a state as text. They can't be compared directly, because they have internal fields of
// the protobuf library.
func messageTexts(s *replication.PersistentState) (all []string) {
	all = append(all, s.HardState.String(), s.Snapshot.String())
	for _, e := range s.Entries {
		all = append(all, e.String())
	}
	return all
}

func TestReopenedStorageReturnsAllWrites(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, want := fillStorage(t, dir)
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.identity() != id || s.corruption != nil || !equalStates(saved, want) {
		t.Fatalf("%+v, corruption: %v\n%v\nwant\n%v", s.identity(), s.corruption, saved, want)
	}
}

func TestOpenStorageFailsIfInUse(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	fillStorage(t, dir)
	s, _, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if _, _, err := openStorage(dir, time.Now()); !errors.Is(err, ErrInUse) {
		t.Fatalf("opened the same directory again: unexpected error %v", err)
	}
}

// corruptCopy returns a copy of a file in which 1 to 3 random bytes are changed. One copy in four is also truncated.
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

// Corruption either has no effect on the data, or all data is discarded and the replica gets a new incarnation. A replica that
// kept its incarnation after a loss of data could vote twice in a term.
func TestCorruptDatabaseIsNeverUsed(t *testing.T) {
	leakcheck.Check(t)
	from := t.TempDir()
	id, want := fillStorage(t, from)
	database := readFile(t, filepath.Join(from, databaseName))
	counter := readFile(t, filepath.Join(from, txNumberFileName))
	random, detected := rand.New(rand.NewPCG(1, 2)), 0
	for range 300 {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, databaseName), corruptCopy(random, database))
		writeFile(t, filepath.Join(dir, txNumberFileName), counter)
		s, saved, err := openStorage(dir, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if s.corruption == nil && (s.identity() != id || !equalStates(saved, want)) {
			t.Fatalf("corrupt data was used: %+v %v", s.identity(), saved)
		}
		if s.corruption != nil {
			detected++
			checkSetAside(t, dir, s, saved, id)
		}
		s.close()
	}
	if detected < 50 {
		t.Fatalf("only %d of 300 corrupted files were detected as corrupt", detected)
	}
}

// checkSetAside checks that a replica whose data was corrupt starts empty in a new incarnation, and that the corrupt database
// was renamed.
func checkSetAside(t *testing.T, dir string, s *storage, saved map[int]*replication.PersistentState, former identity) {
	t.Helper()
	if s.identity().incarnation == former.incarnation || len(saved) > 0 {
		t.Fatal("the replica continues with corrupt data or in its old incarnation")
	}
	aside, err := filepath.Glob(filepath.Join(dir, "held.db.spoilt-*"))
	if err != nil || len(aside) != 1 || s.corruption.SetAside != aside[0] {
		t.Fatalf("the corrupt database was not set aside: %v (%v), %+v", aside, err, s.corruption)
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

// A database that lost its whole newest transaction looks intact. The number in the file beside it shows that a later one was
// committed.
func TestRolledBackDatabaseIsDiscarded(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	id, _ := fillStorage(t, dir)
	path := filepath.Join(dir, txNumberFileName)
	last := binary.BigEndian.Uint64(readFile(t, path))
	writeFile(t, path, binary.BigEndian.AppendUint64(nil, last+1))
	s, saved, err := openStorage(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if s.identity().incarnation == id.incarnation || len(saved) > 0 {
		t.Fatalf("%+v continues with %d groups", s.identity(), len(saved))
	}
	var rolledBack *rolledBackError
	if s.corruption == nil || !errors.As(s.corruption, &rolledBack) || rolledBack.stored != last || rolledBack.made != last+1 {
		t.Fatalf("unexpected reason: %v", s.corruption)
	}
}

func TestStoragesWithoutADirectoryHaveDistinctIncarnations(t *testing.T) {
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
		t.Error("two storages without a directory have the same incarnation")
	}
	if a.persistent() || a.write(testWrites) != nil {
		t.Error("a storage without a directory must not be persistent, and must accept writes")
	}
}

func TestGroupDigestsSurviveTheirEncoding(t *testing.T) {
	digests := []groupDigest{{group: 3, hardStateSum: 1, snapshotSum: 2, lastIndex: 3, lastTerm: 4}, {group: 255, lastIndex: 1 << 63}}
	encoded := encodeDigests(digests)
	if got, err := decodeDigests(encoded); err != nil || !slices.Equal(got, digests) {
		t.Errorf("decoded as %+v: %v", got, err)
	}
	if got, err := decodeDigests(encoded[1:]); !errors.Is(err, errWrongLength) {
		t.Errorf("a truncated encoding is decoded as %+v: %v", got, err)
	}
}
