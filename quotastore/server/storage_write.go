package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	bolt "go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// buckets are the database's within one transaction.
type buckets struct {
	node, hardState, snapshot, log *bolt.Bucket
}

func openBuckets(tx *bolt.Tx) *buckets {
	return &buckets{
		node:      tx.Bucket(bucketNode),
		hardState: tx.Bucket(bucketHardState),
		snapshot:  tx.Bucket(bucketSnapshot),
		log:       tx.Bucket(bucketLog),
	}
}

func (b *buckets) complete() bool {
	return b.node != nil && b.hardState != nil && b.snapshot != nil && b.log != nil
}

// createBuckets opens the buckets, and makes those that are missing.
func createBuckets(tx *bolt.Tx) (*buckets, error) {
	b := &buckets{}
	for _, bucket := range []struct {
		name []byte
		to   **bolt.Bucket
	}{{bucketNode, &b.node}, {bucketHardState, &b.hardState}, {bucketSnapshot, &b.snapshot}, {bucketLog, &b.log}} {
		var err error
		if *bucket.to, err = tx.CreateBucketIfNotExists(bucket.name); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// update makes one transaction of all the writes. The number in the file beside the database follows once it is committed.
func (s *storage) update(writes []replication.Write) error {
	if s.db == nil {
		return nil
	}
	number, tails := s.transactions+1, slices.Clone(s.tails)
	err := s.db.Update(func(tx *bolt.Tx) error {
		b, err := createBuckets(tx)
		if err != nil {
			return err
		}
		if err := b.putNode(number, s.id); err != nil {
			return err
		}
		for i := range writes {
			var tail *logTail
			tails, tail = tailOf(tails, writes[i].Group)
			if err := b.apply(&writes[i], tail); err != nil {
				return fmt.Errorf("group %d: %w", writes[i].Group, err)
			}
		}
		return b.node.Put(keyTails, statemachine.Seal(encodeLogTails(tails)))
	})
	if err != nil {
		return err
	}
	s.transactions, s.tails = number, tails
	_, err = s.counterFile.WriteAt(binary.BigEndian.AppendUint64(nil, number), 0)
	return err
}

// tailOf finds a group's tail, and adds one for a group that was never written.
func tailOf(tails []logTail, group int) ([]logTail, *logTail) {
	at := slices.IndexFunc(tails, func(t logTail) bool { return t.group == group })
	if at < 0 {
		at, tails = len(tails), append(tails, logTail{group: group})
	}
	return tails, &tails[at]
}

func (b *buckets) putNode(transaction uint64, id identity) error {
	encoded := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, id.incarnation), id.cluster)
	return errors.Join(
		b.node.Put(keyCounter, statemachine.Seal(binary.BigEndian.AppendUint64(nil, transaction))),
		b.node.Put(keyIdentity, statemachine.Seal(encoded)),
	)
}

// apply puts one group's write, and keeps its tail up to date.
func (b *buckets) apply(w *replication.Write, tail *logTail) (err error) {
	key := groupKey(w.Group)
	if w.DropReplica {
		tail.snapshotSum, tail.lastIndex, tail.lastTerm = 0, 0, 0
		if err := errors.Join(b.snapshot.Delete(key), b.deleteEntries(w.Group, 0, math.MaxUint64)); err != nil {
			return err
		}
	}
	if w.HardState != nil || tail.hardStateSum == 0 {
		if tail.hardStateSum, err = putSealed(b.hardState, key, w.HardState); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		if err := b.applySnapshot(w, tail); err != nil {
			return err
		}
	}
	if len(w.Entries) == 0 {
		return nil
	}
	return b.appendEntries(w.Entries, tail)
}

// applySnapshot puts a snapshot in the place of the entries that it covers.
func (b *buckets) applySnapshot(w *replication.Write, tail *logTail) error {
	until := w.CompactTo
	if w.ReplaceLog {
		until = math.MaxUint64
	}
	sum, err := putSealed(b.snapshot, groupKey(w.Group), w.Snapshot)
	if err := errors.Join(err, b.deleteEntries(w.Group, 0, until)); err != nil {
		return err
	}
	tail.snapshotSum = sum
	if m := w.Snapshot.GetMetadata(); w.ReplaceLog || m.GetIndex() >= tail.lastIndex {
		tail.lastIndex, tail.lastTerm = m.GetIndex(), m.GetTerm()
	}
	return nil
}

// appendEntries puts entries, which replace all from the first one's index on.
func (b *buckets) appendEntries(entries []*pb.Entry, tail *logTail) error {
	first := entries[0].GetIndex()
	previousTerm, err := b.termBefore(first, tail)
	if err != nil {
		return err
	}
	if err := b.deleteEntries(tail.group, first, math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		value := statemachine.Seal(withPreviousTerm(previousTerm, encoded))
		if err := b.log.Put(logKey(tail.group, entry.GetIndex()), value); err != nil {
			return err
		}
		previousTerm = entry.GetTerm()
	}
	tail.appended(entries)
	return nil
}

// termBefore returns the term of the entry before an index: the last one's, unless entries of another leader are replaced.
func (b *buckets) termBefore(index uint64, tail *logTail) (uint64, error) {
	if index == tail.lastIndex+1 {
		return tail.lastTerm, nil
	}
	unsealed, err := statemachine.Unseal(b.log.Get(logKey(tail.group, index)))
	if err != nil {
		return 0, fmt.Errorf("entry %d: %w", index, err)
	}
	previousTerm, _, err := splitPreviousTerm(unsealed) // the entry that is replaced has it
	return previousTerm, err
}

// deleteEntries deletes a group's entries from one index to another, both included.
func (b *buckets) deleteEntries(group int, from, until uint64) error {
	cursor := b.log.Cursor()
	for {
		key, _ := cursor.Seek(logKey(group, from))
		if !isLogKey(key, group) || logKeyIndex(key) > until {
			return nil
		}
		if err := b.log.Delete(key); err != nil {
			return err
		}
	}
}

// putSealed stores a message with its checksum, and returns the checksum of the whole value. A nil message is stored empty.
func putSealed(bucket *bolt.Bucket, key []byte, m proto.Message) (sum uint64, err error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return 0, err
	}
	value := statemachine.Seal(encoded)
	return checksum(value), bucket.Put(key, value)
}

const (
	groupKeyBytes = 4
	logKeyBytes   = groupKeyBytes + 8
)

func groupKey(group int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(group)) }

func logKey(group int, index uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(group), index)
}

// isLogKey says that a key, nil at the end of the bucket, is of an entry of the group.
func isLogKey(key []byte, group int) bool {
	return len(key) == logKeyBytes && binary.BigEndian.Uint32(key) == uint32(group)
}

func logKeyIndex(key []byte) uint64 { return binary.BigEndian.Uint64(key[groupKeyBytes:]) }
