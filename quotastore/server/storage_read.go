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

// contents are all that a database holds.
type contents struct {
	id           identity
	transactions uint64
	groups       map[int]*replication.PersistentState
}

// load reads and checks all that a database holds, and writes nothing: bytes that were changed may lead the database library
// astray, into a panic or beyond the file, and that counts as corruption. The database is opened for reading, as the library
// would else read the list of free pages on a goroutine of its own.
func load(files storageFiles) (stored *contents, err error) {
	source := &storage{} // closes whatever was opened
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
	if source.counterFile, err = openCounter(files.counter); err != nil {
		return nil, err
	}
	err = source.db.View(func(tx *bolt.Tx) (err error) {
		stored, err = readContents(tx, source.counterFile)
		return err
	})
	return stored, err
}

func readContents(tx *bolt.Tx, counterFile *os.File) (*contents, error) {
	b := openBuckets(tx)
	if !b.complete() {
		return nil, errMissingBucket
	}
	stored := &contents{groups: map[int]*replication.PersistentState{}}
	var err error
	if stored.id, err = readIdentity(b.node); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	if stored.transactions, err = readCounter(b.node, counterFile); err != nil {
		return nil, err
	}
	value, err := statemachine.Unseal(b.node.Get(keyTails))
	if err != nil {
		return nil, fmt.Errorf("groups: %w", err)
	}
	tails, err := decodeLogTails(value)
	if err != nil {
		return nil, fmt.Errorf("groups: %w", err)
	}
	for _, tail := range tails {
		if stored.groups[tail.group], err = b.readGroup(tail); err != nil {
			return nil, fmt.Errorf("group %d: %w", tail.group, err)
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

// readCounter reads the number of the last transaction, and compares it with the one in the file beside the database: the
// library falls back to the transaction before when its newest page is corrupt, which would forget a vote.
func readCounter(node *bolt.Bucket, counterFile *os.File) (uint64, error) {
	value, err := statemachine.Unseal(node.Get(keyCounter))
	if err != nil {
		return 0, fmt.Errorf("count of writes: %w", err)
	}
	if len(value) != counterBytes {
		return 0, fmt.Errorf("count of writes: %w", errWrongLength)
	}
	stored := binary.BigEndian.Uint64(value)
	var last [counterBytes]byte
	// A file that is too short says nothing: it is written after the transaction, and not synced.
	if n, _ := counterFile.ReadAt(last[:], 0); n == counterBytes && binary.BigEndian.Uint64(last[:]) > stored {
		return 0, &rolledBackError{stored: stored, made: binary.BigEndian.Uint64(last[:])}
	}
	return stored, nil
}

// readGroup reads one group's replica, and checks that nothing of it is missing or older than what was written last.
func (b *buckets) readGroup(want logTail) (*replication.PersistentState, error) {
	key := groupKey(want.group)
	if checksum(b.hardState.Get(key)) != want.hardStateSum || checksum(b.snapshot.Get(key)) != want.snapshotSum {
		return nil, errors.New("votes or snapshot: not what was written last")
	}
	state := &replication.PersistentState{HardState: &pb.HardState{}}
	if err := unmarshalSealed(b.hardState.Get(key), state.HardState); err != nil {
		return nil, fmt.Errorf("votes: %w", err)
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
		return nil, fmt.Errorf("ends with entry %d of term %d, and entry %d of term %d was the last", index, term, want.lastIndex, want.lastTerm)
	}
	return state, nil
}

// readEntries reads the entries of a group's log that follow an index of a term, and checks that they are a chain.
func (b *buckets) readEntries(group int, index, term uint64) (entries []*pb.Entry, err error) {
	cursor := b.log.Cursor()
	for key, value := cursor.Seek(logKey(group, index+1)); isLogKey(key, group); key, value = cursor.Next() {
		index++
		previousTerm, entry, err := readEntry(value)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", index, err)
		}
		if previousTerm != term {
			return nil, fmt.Errorf("entry %d does not follow on the one before", index)
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

// unmarshalSealed checks a stored value and decodes it into m.
func unmarshalSealed(value []byte, m proto.Message) error {
	encoded, err := statemachine.Unseal(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, m)
}
