package server

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// identity is who a replica is, for as long as it has its data.
type identity struct {
	incarnation uint32
	cluster     uint64 // 0: it belongs to none yet
}

// storage keeps what a replica wrote beyond the end of its process. Without a directory nothing is kept, and each process is
// an incarnation of its own. It has one user at a time: the writer, or the event loop while no write is under way.
type storage struct {
	db           *bolt.DB // nil: without a directory, or closed
	counterFile  *os.File // the number of the last transaction, beside the database
	id           identity
	transactions uint64    // number of the last transaction
	tails        []logTail // of every replica that was ever written
	// discarded says why the data found at opening was set aside; nil: it was used, or there was none.
	discarded *CorruptionError
}

const (
	databaseName     = "held.db"
	counterName      = "held.count"
	rewriteSuffix    = ".new"
	setAsideInfix    = ".spoilt-"
	lockTimeout      = time.Second // for which a database that another process has open is waited for
	directoryMode    = 0o755
	fileMode         = 0o644
	incarnationBytes = 4
	identityBytes    = incarnationBytes + 8
	counterBytes     = 8
)

// The buckets of the database and the keys of the node bucket. They are part of the on-disk layout.
var (
	bucketNode      = []byte("node")
	bucketHardState = []byte("hard")
	bucketSnapshot  = []byte("snap")
	bucketLog       = []byte("log")

	keyIdentity = []byte("id")
	keyTails    = []byte("groups") // of all groups that were ever written: one that is missing was lost
	keyCounter  = []byte("count")
)

// storageFiles are the paths of a storage's files.
type storageFiles struct {
	database, counter string
}

// openStorage opens the data in a directory, or begins there; dir "" keeps nothing. It returns what each group had written.
// Data that is corrupt is set aside and counts as lost: the replica begins empty, in a new incarnation. It returns ErrInUse
// if another process has the database open, and an error that is statemachine.ErrNewerVersion if a newer build wrote it; both
// leave the files as they are.
func openStorage(dir string, now time.Time) (*storage, map[int]*replication.PersistentState, error) {
	if dir == "" {
		incarnation, err := newIncarnation()
		return &storage{id: identity{incarnation: incarnation}}, nil, err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, nil, fmt.Errorf("data directory: %w", err)
	}
	files := storageFiles{database: filepath.Join(dir, databaseName), counter: filepath.Join(dir, counterName)}
	var discarded *CorruptionError
	if _, err := os.Stat(files.database); err == nil {
		stored, err := load(files)
		if err == nil {
			return resume(files, stored)
		}
		if discarded, err = discard(files, err, now); err != nil {
			return nil, nil, err
		}
	}
	s, err := create(files)
	if err != nil {
		return nil, nil, err
	}
	s.discarded = discarded
	return s, nil, nil
}

func newIncarnation() (uint32, error) {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(b[:]) | 1, nil // never 0, which stands for none
}

// discard sets a database aside that could not be loaded, unless nothing is wrong with it.
func discard(files storageFiles, reason error, now time.Time) (*CorruptionError, error) {
	if errors.Is(reason, statemachine.ErrNewerVersion) || errors.Is(reason, ErrInUse) || errors.Is(reason, os.ErrPermission) {
		return nil, fmt.Errorf("%s: %w", files.database, reason)
	}
	aside := fmt.Sprintf("%s%s%d", files.database, setAsideInfix, now.UnixNano())
	if err := os.Rename(files.database, aside); err != nil {
		return nil, fmt.Errorf("%s is corrupt (%w) and can't be set aside: %w", files.database, reason, err)
	}
	os.Remove(files.counter)
	return &CorruptionError{File: files.database, SetAside: aside, Reason: reason}, nil
}

// create begins with an empty database, in a new incarnation.
func create(files storageFiles) (*storage, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	s := &storage{id: identity{incarnation: incarnation}}
	if err := s.open(files); err != nil {
		return nil, fmt.Errorf("%s: %w", files.database, err)
	}
	if err := s.update(nil); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// resume writes what was loaded into a database of its own, which takes the place of the one that was loaded: pages from which
// nothing was read may be corrupt too, and would be reused in their turn.
func resume(files storageFiles, stored *contents) (*storage, map[int]*replication.PersistentState, error) {
	s := &storage{id: stored.id, transactions: stored.transactions}
	if err := s.rewrite(files, stored.groups); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, stored.groups, nil
}

func (s *storage) rewrite(files storageFiles, groups map[int]*replication.PersistentState) error {
	fresh := storageFiles{database: files.database + rewriteSuffix, counter: files.counter}
	os.Remove(fresh.database)
	if err := s.open(fresh); err != nil {
		return fmt.Errorf("%s: %w", fresh.database, err)
	}
	var writes []replication.Write
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		state := groups[group]
		writes = append(writes, replication.Write{
			Group:      group,
			HardState:  state.HardState,
			Snapshot:   state.Snapshot,
			Entries:    state.Entries,
			ReplaceLog: true,
		})
	}
	if err := s.update(writes); err != nil {
		return err
	}
	if err := os.Rename(fresh.database, files.database); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(files.database))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s *storage) open(files storageFiles) (err error) {
	options := &bolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
	if s.db, err = bolt.Open(files.database, fileMode, options); err != nil {
		return asInUse(err)
	}
	if s.counterFile, err = openCounter(files.counter); err != nil {
		s.db.Close()
		s.db = nil
	}
	return err
}

func openCounter(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
}

// asInUse names the error of a database that another process has open.
func asInUse(err error) error {
	if errors.Is(err, berrors.ErrTimeout) {
		return ErrInUse
	}
	return err
}

// identity returns who this replica is.
func (s *storage) identity() identity { return s.id }

// persistent says that what is written outlives the process.
func (s *storage) persistent() bool { return s.db != nil }

// setCluster stores the cluster that the replica belongs to.
func (s *storage) setCluster(cluster uint64) error {
	if s.id.cluster == cluster {
		return nil
	}
	s.id.cluster = cluster
	return s.update(nil)
}

// write stores the writes of all groups in one transaction. They are on disk when it returns nil.
func (s *storage) write(writes []replication.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return s.update(writes)
}

// close closes the files.
func (s *storage) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.counterFile != nil {
		s.counterFile.Close()
		s.counterFile = nil
	}
}
