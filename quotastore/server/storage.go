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

// identity identifies a replica until it loses its data.
type identity struct {
	incarnation uint32
	cluster     uint64 // 0: none yet
}

// storage stores a replica's writes durably. Without a directory nothing is stored, and each process is a new incarnation.
// storage is not safe for concurrent use: the writer uses it during a write, and the event loop at all other times.
type storage struct {
	db           *bolt.DB // nil: without a directory, or closed
	txNumberFile *os.File // file beside the database with the number of the last transaction
	id           identity
	txNumber     uint64        // number of the last transaction
	digests      []groupDigest // of each group that was ever written
	// corruption is the reason why existing data was set aside on opening; nil: the data was used, or there was none.
	corruption *CorruptionError
}

const (
	databaseName     = "held.db"
	txNumberFileName = "held.count"
	rewriteSuffix    = ".new"
	setAsideInfix    = ".spoilt-"
	lockTimeout      = time.Second // longest wait for a database that another process has open
	directoryMode    = 0o755
	fileMode         = 0o644
	incarnationBytes = 4
	identityBytes    = incarnationBytes + 8
	txNumberBytes    = 8
)

// The buckets of the database and the keys of the node bucket. They are part of the on-disk layout.
var (
	bucketNode      = []byte("node")
	bucketHardState = []byte("hard")
	bucketSnapshot  = []byte("snap")
	bucketLog       = []byte("log")

	keyIdentity = []byte("id")
	keyDigests  = []byte("groups") // of all groups that were ever written; shows whether a group is missing
	keyTxNumber = []byte("count")
)

// storageFiles are the paths of a storage's files.
type storageFiles struct {
	database, txNumber string
}

// openStorage opens the data in a directory, or creates a new database there. With dir "", nothing is stored. It returns the
// stored state of each group. Corrupt data is set aside and counts as lost: the replica starts empty in a new incarnation.
// openStorage returns ErrInUse if another process has the database open, and an error that wraps
// statemachine.ErrNewerVersion if a newer build wrote it. Both leave the files unchanged.
func openStorage(dir string, now time.Time) (*storage, map[int]*replication.PersistentState, error) {
	if dir == "" {
		incarnation, err := newIncarnation()
		return &storage{id: identity{incarnation: incarnation}}, nil, err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, nil, fmt.Errorf("data directory: %w", err)
	}
	files := storageFiles{database: filepath.Join(dir, databaseName), txNumber: filepath.Join(dir, txNumberFileName)}
	var corruption *CorruptionError
	if _, err := os.Stat(files.database); err == nil {
		stored, err := load(files)
		if err == nil {
			return resume(files, stored)
		}
		if corruption, err = setAside(files, err, now); err != nil {
			return nil, nil, err
		}
	}
	s, err := create(files)
	if err != nil {
		return nil, nil, err
	}
	s.corruption = corruption
	return s, nil, nil
}

func newIncarnation() (uint32, error) {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(b[:]) | 1, nil // never 0, which means none
}

// setAside renames a database that could not be loaded, unless the reason is not a corruption.
func setAside(files storageFiles, reason error, now time.Time) (*CorruptionError, error) {
	if errors.Is(reason, statemachine.ErrNewerVersion) || errors.Is(reason, ErrInUse) || errors.Is(reason, os.ErrPermission) {
		return nil, fmt.Errorf("%s: %w", files.database, reason)
	}
	aside := fmt.Sprintf("%s%s%d", files.database, setAsideInfix, now.UnixNano())
	if err := os.Rename(files.database, aside); err != nil {
		return nil, fmt.Errorf("%s is corrupt (%w) and can't be set aside: %w", files.database, reason, err)
	}
	os.Remove(files.txNumber)
	return &CorruptionError{File: files.database, SetAside: aside, Reason: reason}, nil
}

// create creates an empty database for a new incarnation.
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

// resume writes the loaded contents to a new database, which replaces the loaded one. Pages of the old database that load did
// not read may be corrupt too, and would eventually be reused.
func resume(files storageFiles, stored *contents) (*storage, map[int]*replication.PersistentState, error) {
	s := &storage{id: stored.id, txNumber: stored.txNumber}
	if err := s.rewrite(files, stored.groups); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, stored.groups, nil
}

func (s *storage) rewrite(files storageFiles, groups map[int]*replication.PersistentState) error {
	fresh := storageFiles{database: files.database + rewriteSuffix, txNumber: files.txNumber}
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
	if s.txNumberFile, err = openTxNumberFile(files.txNumber); err != nil {
		s.db.Close()
		s.db = nil
	}
	return err
}

func openTxNumberFile(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
}

// asInUse returns ErrInUse for the error of a database that another process has open, and any other error unchanged.
func asInUse(err error) error {
	if errors.Is(err, berrors.ErrTimeout) {
		return ErrInUse
	}
	return err
}

func (s *storage) identity() identity { return s.id }

// persistent reports whether writes outlive the process.
func (s *storage) persistent() bool { return s.db != nil }

// setCluster stores the ID of the cluster that the replica belongs to.
func (s *storage) setCluster(cluster uint64) error {
	if s.id.cluster == cluster {
		return nil
	}
	s.id.cluster = cluster
	return s.update(nil)
}

// write stores the writes of all groups in one transaction. They are durable when it returns nil.
func (s *storage) write(writes []replication.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return s.update(writes)
}

func (s *storage) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.txNumberFile != nil {
		s.txNumberFile.Close()
		s.txNumberFile = nil
	}
}
