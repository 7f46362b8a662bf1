package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	bolt "go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// contents is everything that a database stores.
type contents struct {
	id       identity
	txNumber uint64
	groups   map[int]*replication.PersistentState
}

// load reads and checks the whole database without writing. Corrupt bytes may make the database library panic or access memory
// beyond the mapped file, and both are reported as corruption. The database is opened read-only, because the library would
// otherwise read the list of free pages on a goroutine of its own, whose panics load can't recover.
func load(files storageFiles) (stored *contents, err error) {
	source := &storage{} // owns the open files until they are closed
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			stored, err = nil, fmt.Errorf("corrupt: %v", r)
		}
		source.close()
	}()
	if source.db, err = bolt.Open(files.database, fileMode, &bolt.Options{Timeout: lockTimeout, ReadOnly: true}); err != nil {
		return nil, asInUse(err)
	}
	if source.txNumberFile, err = openTxNumberFile(files.txNumber); err != nil {
		return nil, err
	}
	err = source.db.View(func(tx *bolt.Tx) (err error) {
		stored, err = readContents(tx, source.txNumberFile)
		return err
	})
	return stored, err
}

func readContents(tx *bolt.Tx, txNumberFile *os.File) (*contents, error) {
	b := openBuckets(tx)
	if !b.complete() {
		return nil, errMissingBucket
	}
	stored := &contents{groups: map[int]*replication.PersistentState{}}
	var err error
	if stored.id, err = readIdentity(b.node); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	if stored.txNumber, err = readTxNumber(b.node, txNumberFile); err != nil {
		return nil, err
	}
	value, err := statemachine.Unseal(b.node.Get(keyDigests))
	if err != nil {
		return nil, fmt.Errorf("groups: %w", err)
	}
	digests, err := decodeDigests(value)
	if err != nil {
		return nil, fmt.Errorf("groups: %w", err)
	}
	for _, digest := range digests {
		if stored.groups[digest.group], err = b.readGroup(digest); err != nil {
			return nil, fmt.Errorf("group %d: %w", digest.group, err)
		}
	}
	return stored, nil
}

func readIdentity(node *bolt.Bucket) (identity, error) {
	value, err := statemachine.Unseal(node.Get(keyIdentity))
	if err != nil {
		return identity{}, err
	}
	if len(value) != identityBytes {
		return identity{}, errWrongLength
	}
	return identity{
		incarnation: binary.BigEndian.Uint32(value),
		cluster:     binary.BigEndian.Uint64(value[incarnationBytes:]),
	}, nil
}

// readTxNumber reads the number of the last transaction and compares it with the number in the file beside the database. The
// library falls back to the previous transaction if its newest page is corrupt, and the replica would then forget a vote.
func readTxNumber(node *bolt.Bucket, txNumberFile *os.File) (uint64, error) {
	value, err := statemachine.Unseal(node.Get(keyTxNumber))
	if err != nil {
		return 0, fmt.Errorf("transaction number: %w", err)
	}
	if len(value) != txNumberBytes {
		return 0, fmt.Errorf("transaction number: %w", errWrongLength)
	}
	stored := binary.BigEndian.Uint64(value)
	var last [txNumberBytes]byte
	// A file that is too short is ignored, because it is written after the transaction and not synced.
	if n, _ := txNumberFile.ReadAt(last[:], 0); n == txNumberBytes && binary.BigEndian.Uint64(last[:]) > stored {
		return 0, &rolledBackError{stored: stored, made: binary.BigEndian.Uint64(last[:])}
	}
	return stored, nil
}

// readGroup reads the state of one group's replica, and checks that no part of it is missing or outdated.
func (b *buckets) readGroup(want groupDigest) (*replication.PersistentState, error) {
	key := groupKey(want.group)
	if checksum(b.hardState.Get(key)) != want.hardStateSum || checksum(b.snapshot.Get(key)) != want.snapshotSum {
		return nil, errors.New("hard state or snapshot: not the last one written")
	}
	state := &replication.PersistentState{HardState: &pb.HardState{}}
	if err := unmarshalSealed(b.hardState.Get(key), state.HardState); err != nil {
		return nil, fmt.Errorf("hard state: %w", err)
	}
	var index, term uint64
	if value := b.snapshot.Get(key); value != nil {
		state.Snapshot = &pb.Snapshot{}
		if err := unmarshalSealed(value, state.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		index, term = state.Snapshot.GetMetadata().GetIndex(), state.Snapshot.GetMetadata().GetTerm()
	}
	var err error
	if state.Entries, err = b.readEntries(want.group, index, term); err != nil {
		return nil, err
	}
	if n := len(state.Entries); n > 0 {
		index, term = state.Entries[n-1].GetIndex(), state.Entries[n-1].GetTerm()
	}
	if index != want.lastIndex || term != want.lastTerm {
		return nil, fmt.Errorf("log ends with entry %d of term %d; the last one written was entry %d of term %d", index, term, want.lastIndex, want.lastTerm)
	}
	return state, nil
}

// readEntries reads the entries of a group's log after an index, and checks that each follows the previous one in index and
// term. term is the term of the entry at index.
func (b *buckets) readEntries(group int, index, term uint64) (entries []*pb.Entry, err error) {
	cursor := b.log.Cursor()
	for key, value := cursor.Seek(logKey(group, index+1)); isLogKey(key, group); key, value = cursor.Next() {
		index++
		previousTerm, entry, err := readEntry(value)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", index, err)
		}
		if previousTerm != term {
			return nil, fmt.Errorf("entry %d does not follow the previous entry", index)
		}
		if entry.GetIndex() != index || logKeyIndex(key) != index {
			return nil, fmt.Errorf("entry %d is missing", index)
		}
		term = entry.GetTerm()
		entries = append(entries, entry)
	}
	return entries, nil
}

func readEntry(value []byte) (previousTerm uint64, entry *pb.Entry, err error) {
	unsealed, err := statemachine.Unseal(value)
	if err != nil {
		return 0, nil, err
	}
	previousTerm, encoded, err := splitPreviousTerm(unsealed)
	if err != nil {
		return 0, nil, err
	}
	entry = &pb.Entry{}
	return previousTerm, entry, proto.Unmarshal(encoded, entry)
}

// unmarshalSealed verifies the checksum of a stored value and decodes the value into m.
func unmarshalSealed(value []byte, m proto.Message) error {
	encoded, err := statemachine.Unseal(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, m)
}
