package server

// This file owns what lies on disk: one file of the database library, each value with a check, and beside it the number of
// the last write. A file that can't be trusted is set aside and never read from; one that can't be written ends the keeper.

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// Identity is who a keeper is, for as long as it has what it held.
type identity struct {
	incarnation uint32
	cluster     uint64
}

// Store is where a keeper's writes outlive its process; without a folder there is no such place, and each process has a life
// of its own.
type storage struct {
	db     *bolt.DB
	beside *os.File
	id     identity
	count  uint64 // of writes
	tails  []tail // of every copy that was ever written
	// Spoilt says why what lay there is not trusted; "": it is, or nothing lay there.
	discarded string
}

var (
	bucketNode = []byte("node")
	bucketHard = []byte("hard")
	bucketSnap = []byte("snap")
	bucketLog  = []byte("log")
	keyNode    = []byte("id")
	keyGroups  = []byte("groups") // all that were ever written: one that is missing was lost
	keyCount   = []byte("count")
)

func newLife() (uint32, error) {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(b[:]) | 1, nil
}

// OpenStore opens what lies in a folder, or begins there.
func openStorage(dir string, now time.Time) (s *storage, saved map[int]*replication.PersistentState, err error) {
	s = &storage{}
	if dir == "" {
		s.id.incarnation, err = newLife()
		return s, nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, fmt.Errorf("keeper's folder: %w", err)
	}
	path, beside := filepath.Join(dir, "held.db"), filepath.Join(dir, "held.count")
	if _, err := os.Stat(path); err == nil {
		saved, err = s.load(path, beside)
		switch {
		case err == nil:
			return s, saved, s.anew(path, beside, saved)
		case errors.Is(err, statemachine.ErrNewerVersion), errors.Is(err, ErrInUse), errors.Is(err, os.ErrPermission):
			return nil, nil, fmt.Errorf("%s: %w", path, err) // nothing is wrong with what lies there
		}
		s.discarded = err.Error()
		aside := fmt.Sprintf("%s.spoilt-%d", path, now.UnixNano())
		if err := os.Rename(path, aside); err != nil {
			return nil, nil, fmt.Errorf("%s can't be trusted (%s) nor set aside: %w", path, s.discarded, err)
		}
		s.discarded += "; set aside as " + filepath.Base(aside)
		os.Remove(beside)
	}
	if s.id.incarnation, err = newLife(); err != nil {
		return nil, nil, err
	}
	if err := s.open(path, beside); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil, s.update(nil)
}

var ErrInUse = errors.New("another process uses it")

func (s *storage) open(path, beside string) (err error) {
	if s.db, err = bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}); err != nil {
		return opened(err)
	}
	if s.beside, err = os.OpenFile(beside, os.O_CREATE|os.O_RDWR, 0o644); err != nil {
		s.db.Close()
		s.db = nil
	}
	return err
}

func opened(err error) error {
	if errors.Is(err, berrors.ErrTimeout) {
		return ErrInUse
	}
	return err
}

// load reads all that lies there, and nothing is written: bytes that were changed may lead the database astray, into a panic
// or beyond the file, and that counts as spoilt. It does not look at the list of free pages, where it would do so on a
// goroutine of its own.
func (s *storage) load(path, beside string) (saved map[int]*replication.PersistentState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("spoilt: %v", r)
		}
		s.close()
	}()
	if s.db, err = bolt.Open(path, 0o644, &bolt.Options{Timeout: time.Second, ReadOnly: true}); err != nil {
		return nil, opened(err)
	}
	if s.beside, err = os.OpenFile(beside, os.O_CREATE|os.O_RDWR, 0o644); err != nil {
		return nil, err
	}
	saved = map[int]*replication.PersistentState{}
	err = s.db.View(func(tx *bolt.Tx) error { return s.read(tx, saved) })
	return saved, err
}

// anew writes what was read into a file of its own, which takes the place of the one read: pages that nothing was read from
// may be spoilt too, and would be written over in their turn.
func (s *storage) anew(path, beside string, saved map[int]*replication.PersistentState) error {
	fresh := path + ".new"
	os.Remove(fresh)
	if err := s.open(fresh, beside); err != nil {
		return fmt.Errorf("%s: %w", fresh, err)
	}
	var all []replication.Write
	for _, g := range slices.Sorted(maps.Keys(saved)) {
		all = append(all, replication.Write{Group: g, HardState: saved[g].HardState, Snapshot: saved[g].Snapshot, Entries: saved[g].Entries, ReplaceLog: true})
	}
	if err := s.update(all); err != nil {
		return err
	}
	if err := os.Rename(fresh, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s *storage) read(tx *bolt.Tx, saved map[int]*replication.PersistentState) error {
	node := tx.Bucket(bucketNode)
	hard, snap, log := tx.Bucket(bucketHard), tx.Bucket(bucketSnap), tx.Bucket(bucketLog)
	if node == nil || hard == nil || snap == nil || log == nil {
		return errors.New("a part is missing")
	}
	id, err := statemachine.Unseal(node.Get(keyNode))
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if len(id) != 12 {
		return errors.New("identity: of another length")
	}
	s.id = identity{binary.BigEndian.Uint32(id), binary.BigEndian.Uint64(id[4:])}
	count, err := statemachine.Unseal(node.Get(keyCount))
	if err != nil || len(count) != 8 {
		return fmt.Errorf("count of writes: %w", errors.Join(err, errShort(count)))
	}
	s.count = binary.BigEndian.Uint64(count)
	// The database falls back to the write before when its newest page is spoilt: that would forget a vote.
	var last [8]byte
	if n, _ := s.beside.ReadAt(last[:], 0); n == 8 && binary.BigEndian.Uint64(last[:]) > binary.BigEndian.Uint64(count) {
		return fmt.Errorf("holds write %d, and write %d was made", binary.BigEndian.Uint64(count), binary.BigEndian.Uint64(last[:]))
	}
	groups, err := statemachine.Unseal(node.Get(keyGroups))
	if err != nil {
		return fmt.Errorf("groups: %w", err)
	}
	tails, err := readTails(groups)
	if err != nil {
		return fmt.Errorf("groups: %w", err)
	}
	for _, t := range tails {
		if saved[t.group], err = readGroup(t, hard, snap, log); err != nil {
			return fmt.Errorf("group %d: %w", t.group, err)
		}
	}
	return nil
}

func errShort(b []byte) error {
	if len(b) != 8 {
		return errors.New("of another length")
	}
	return nil
}

func groupKey(g int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(g)) }

func logKey(g int, index uint64) []byte { return binary.BigEndian.AppendUint64(groupKey(g), index) }

// readGroup reads one copy, and checks that nothing of it is missing or older than what was written last.
func readGroup(want tail, hard, snap, log *bolt.Bucket) (*replication.PersistentState, error) {
	s, g := &replication.PersistentState{}, want.group
	if sum(hard.Get(groupKey(g))) != want.hard || sum(snap.Get(groupKey(g))) != want.snap {
		return nil, errors.New("votes or snapshot: not what was written last")
	}
	text, err := statemachine.Unseal(hard.Get(groupKey(g)))
	if err != nil {
		return nil, fmt.Errorf("votes: %w", err)
	}
	s.HardState = &pb.HardState{}
	if err := proto.Unmarshal(text, s.HardState); err != nil {
		return nil, fmt.Errorf("votes: %w", err)
	}
	var from, term uint64
	if v := snap.Get(groupKey(g)); v != nil {
		if text, err = statemachine.Unseal(v); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		s.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(text, s.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		from, term = s.Snapshot.GetMetadata().GetIndex(), s.Snapshot.GetMetadata().GetTerm()
	}
	next := from + 1
	c := log.Cursor()
	for k, v := c.Seek(logKey(g, next)); len(k) == 12 && binary.BigEndian.Uint32(k) == uint32(g); k, v = c.Next() {
		text, err := statemachine.Unseal(v)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", next, err)
		}
		before, text, err := unlinked(text)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", next, err)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return nil, fmt.Errorf("entry %d: %w", next, err)
		}
		if before != term {
			return nil, fmt.Errorf("entry %d does not follow on the one before", next)
		}
		term = e.GetTerm()
		if e.GetIndex() != next || binary.BigEndian.Uint64(k[4:]) != next {
			return nil, fmt.Errorf("entry %d is missing", next)
		}
		s.Entries = append(s.Entries, e)
		next++
	}
	if next-1 != want.last || term != want.term {
		return nil, fmt.Errorf("ends with entry %d of term %d, and entry %d of term %d was the last", next-1, term, want.last, want.term)
	}
	return s, nil
}

// Identity is who this keeper is.
func (s *storage) Identity() identity { return s.id }

// Disk says that writes outlive the process.
func (s *storage) persistent() bool { return s.db != nil }

// Join notes the installation that the keeper belongs to.
func (s *storage) setCluster(cluster uint64) error {
	if s.id.cluster == cluster {
		return nil
	}
	s.id.cluster = cluster
	return s.update(nil)
}

// Write has all of it on disk when it returns without an error: one commit for all groups.
func (s *storage) write(all []replication.Write) error {
	if len(all) == 0 {
		return nil
	}
	return s.update(all)
}

func (s *storage) update(all []replication.Write) error {
	if s.db == nil {
		return nil
	}
	count, tails := s.count+1, slices.Clone(s.tails)
	err := s.db.Update(func(tx *bolt.Tx) (err error) {
		var in [4]*bolt.Bucket
		for i, name := range [][]byte{bucketNode, bucketHard, bucketSnap, bucketLog} {
			if in[i], err = tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		node := in[0]
		id := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, s.id.incarnation), s.id.cluster)
		if err := errors.Join(node.Put(keyCount, statemachine.Seal(binary.BigEndian.AppendUint64(nil, count))), node.Put(keyNode, statemachine.Seal(id))); err != nil {
			return err
		}
		for i := range all {
			w := &all[i]
			at := slices.IndexFunc(tails, func(t tail) bool { return t.group == w.Group })
			if at < 0 {
				at, tails = len(tails), append(tails, tail{group: w.Group})
			}
			if err := put(w, &tails[at], in[1], in[2], in[3]); err != nil {
				return fmt.Errorf("group %d: %w", w.Group, err)
			}
		}
		return node.Put(keyGroups, statemachine.Seal(tailsText(tails)))
	})
	if err != nil {
		return err
	}
	s.count, s.tails = count, tails
	_, err = s.beside.WriteAt(binary.BigEndian.AppendUint64(nil, count), 0)
	return err
}

func put(w *replication.Write, t *tail, hard, snap, log *bolt.Bucket) (err error) {
	key := groupKey(w.Group)
	if w.DropReplica {
		t.snap, t.last, t.term = 0, 0, 0
		if err := errors.Join(snap.Delete(key), cut(log, w.Group, 0, math.MaxUint64)); err != nil {
			return err
		}
	}
	if w.HardState != nil || t.hard == 0 {
		if err = lay(hard, key, w.HardState, &t.hard); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		until := w.CompactTo
		if w.ReplaceLog {
			until = math.MaxUint64
		}
		if err := errors.Join(lay(snap, key, w.Snapshot, &t.snap), cut(log, w.Group, 0, until)); err != nil {
			return err
		}
		if m := w.Snapshot.GetMetadata(); w.ReplaceLog || m.GetIndex() >= t.last {
			t.last, t.term = m.GetIndex(), m.GetTerm()
		}
	}
	if len(w.Entries) == 0 {
		return nil
	}
	before, err := termBefore(w.Entries[0].GetIndex(), t, log)
	if err != nil {
		return err
	}
	if err := cut(log, w.Group, w.Entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, e := range w.Entries {
		text, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := log.Put(logKey(w.Group, e.GetIndex()), statemachine.Seal(linked(before, text))); err != nil {
			return err
		}
		before = e.GetTerm()
	}
	t.behind(w.Entries)
	return nil
}

// lay puts a value where it belongs, and notes its check.
func lay(in *bolt.Bucket, key []byte, m proto.Message, check *uint64) error {
	text, err := proto.Marshal(m) // of one that is nil: nothing
	if err != nil {
		return err
	}
	value := statemachine.Seal(text)
	*check = sum(value)
	return in.Put(key, value)
}

// termBefore is the term of the entry before an index: the last one, unless entries of another leader are replaced.
func termBefore(index uint64, t *tail, log *bolt.Bucket) (uint64, error) {
	if index == t.last+1 {
		return t.term, nil
	}
	text, err := statemachine.Unseal(log.Get(logKey(t.group, index)))
	if err != nil {
		return 0, fmt.Errorf("entry %d: %w", index, err)
	}
	before, _, err := unlinked(text) // the entry that is replaced says it
	return before, err
}

// cut takes entries from one index to another out of a group's log.
func cut(log *bolt.Bucket, g int, from, until uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(logKey(g, from)); len(k) == 12 && binary.BigEndian.Uint32(k) == uint32(g) && binary.BigEndian.Uint64(k[4:]) <= until; k, _ = c.Seek(logKey(g, from)) {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Close lets go of the file.
func (s *storage) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.beside != nil {
		s.beside.Close()
		s.beside = nil
	}
}
