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

// buckets are the buckets of the database within one transaction.
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

// createBuckets opens the buckets, and creates the missing ones.
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

// update stores all writes in one transaction. After the commit it updates the transaction number in the file beside the
// database.
func (s *storage) update(writes []replication.Write) error {
	if s.db == nil {
		return nil
	}
	number, digests := s.txNumber+1, slices.Clone(s.digests)
	err := s.db.Update(func(tx *bolt.Tx) error {
		b, err := createBuckets(tx)
		if err != nil {
			return err
		}
		if err := b.putNode(number, s.id); err != nil {
			return err
		}
		for i := range writes {
			var digest *groupDigest
			digests, digest = digestOf(digests, writes[i].Group)
			if err := b.apply(&writes[i], digest); err != nil {
				return fmt.Errorf("group %d: %w", writes[i].Group, err)
			}
		}
		return b.node.Put(keyDigests, statemachine.Seal(encodeDigests(digests)))
	})
	if err != nil {
		return err
	}
	s.txNumber, s.digests = number, digests
	_, err = s.txNumberFile.WriteAt(binary.BigEndian.AppendUint64(nil, number), 0)
	return err
}

// digestOf returns the digest of a group, and appends one for a group that was never written.
func digestOf(digests []groupDigest, group int) ([]groupDigest, *groupDigest) {
	at := slices.IndexFunc(digests, func(t groupDigest) bool { return t.group == group })
	if at < 0 {
		at, digests = len(digests), append(digests, groupDigest{group: group})
	}
	return digests, &digests[at]
}

func (b *buckets) putNode(transaction uint64, id identity) error {
	encoded := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, id.incarnation), id.cluster)
	return errors.Join(
		b.node.Put(keyTxNumber, statemachine.Seal(binary.BigEndian.AppendUint64(nil, transaction))),
		b.node.Put(keyIdentity, statemachine.Seal(encoded)),
	)
}

// apply stores one group's write and updates the group's digest.
func (b *buckets) apply(w *replication.Write, digest *groupDigest) (err error) {
	key := groupKey(w.Group)
	if w.DropReplica {
		digest.snapshotSum, digest.lastIndex, digest.lastTerm = 0, 0, 0
		if err := errors.Join(b.snapshot.Delete(key), b.deleteEntries(w.Group, 0, math.MaxUint64)); err != nil {
			return err
		}
	}
	if w.HardState != nil || digest.hardStateSum == 0 {
		if digest.hardStateSum, err = putSealed(b.hardState, key, w.HardState); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		if err := b.applySnapshot(w, digest); err != nil {
			return err
		}
	}
	if len(w.Entries) == 0 {
		return nil
	}
	return b.appendEntries(w.Entries, digest)
}

// applySnapshot stores a snapshot, and deletes the entries that it replaces.
func (b *buckets) applySnapshot(w *replication.Write, digest *groupDigest) error {
	until := w.CompactTo
	if w.ReplaceLog {
		until = math.MaxUint64
	}
	sum, err := putSealed(b.snapshot, groupKey(w.Group), w.Snapshot)
	if err := errors.Join(err, b.deleteEntries(w.Group, 0, until)); err != nil {
		return err
	}
	digest.snapshotSum = sum
	if m := w.Snapshot.GetMetadata(); w.ReplaceLog || m.GetIndex() >= digest.lastIndex {
		digest.lastIndex, digest.lastTerm = m.GetIndex(), m.GetTerm()
	}
	return nil
}

// appendEntries stores entries. They replace all entries from the index of the first one on.
func (b *buckets) appendEntries(entries []*pb.Entry, digest *groupDigest) error {
	first := entries[0].GetIndex()
	previousTerm, err := b.termBefore(first, digest)
	if err != nil {
		return err
	}
	if err := b.deleteEntries(digest.group, first, math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		value := statemachine.Seal(withPreviousTerm(previousTerm, encoded))
		if err := b.log.Put(logKey(digest.group, entry.GetIndex()), value); err != nil {
			return err
		}
		previousTerm = entry.GetTerm()
	}
	digest.setLastEntry(entries)
	return nil
}

// termBefore returns the term of the entry before an index. This is the last entry, unless the new entries replace those of
// another leader.
func (b *buckets) termBefore(index uint64, digest *groupDigest) (uint64, error) {
	if index == digest.lastIndex+1 {
		return digest.lastTerm, nil
	}
	unsealed, err := statemachine.Unseal(b.log.Get(logKey(digest.group, index)))
	if err != nil {
		return 0, fmt.Errorf("entry %d: %w", index, err)
	}
	previousTerm, _, err := splitPreviousTerm(unsealed) // stored with the entry that is replaced
	return previousTerm, err
}

// deleteEntries deletes the entries of a group with indexes from "from" to "until", inclusive.
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

// putSealed stores a message with its checksum, and returns the checksum of the whole stored value. A nil message is stored as
// an empty one.
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

// isLogKey reports whether a key belongs to an entry of the group. The key is nil at the end of the bucket.
func isLogKey(key []byte, group int) bool {
	return len(key) == logKeyBytes && binary.BigEndian.Uint32(key) == uint32(group)
}

func logKeyIndex(key []byte) uint64 { return binary.BigEndian.Uint64(key[groupKeyBytes:]) }
