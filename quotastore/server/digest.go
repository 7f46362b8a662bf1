package server

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// groupDigest describes what was last written for one group's replica, which is checked when the storage is opened again. Each
// value has its own checksum, but a corrupt page number or key may lead to an older page whose values are all intact. Such a
// page has a vote, a snapshot or entries that were overwritten since, or a log without its end. The digests of all groups are
// stored as one value beside the number of the last transaction.
type groupDigest struct {
	group        int
	hardStateSum uint64 // checksum of the stored value; 0: none is stored
	snapshotSum  uint64 // of the stored snapshot, as above
	lastIndex    uint64 // index of the last entry, or of the snapshot if no entry follows it
	lastTerm     uint64
}

// groupDigestBytes is the encoded size of a groupDigest: the group in 4 bytes, then four 8-byte numbers, all big endian.
const groupDigestBytes = 4 + 4*8

// termBytes is the size of the previous entry's term, which is stored in front of each entry.
const termBytes = 8

func decodeDigests(encoded []byte) (digests []groupDigest, err error) {
	if len(encoded)%groupDigestBytes != 0 {
		return nil, errWrongLength
	}
	for ; len(encoded) > 0; encoded = encoded[groupDigestBytes:] {
		number := func(i int) uint64 { return binary.BigEndian.Uint64(encoded[4+8*i:]) }
		digests = append(digests, groupDigest{
			group:        int(binary.BigEndian.Uint32(encoded)),
			hardStateSum: number(0),
			snapshotSum:  number(1),
			lastIndex:    number(2),
			lastTerm:     number(3),
		})
	}
	return digests, nil
}

func encodeDigests(digests []groupDigest) (encoded []byte) {
	for _, t := range digests {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(t.group))
		for _, number := range []uint64{t.hardStateSum, t.snapshotSum, t.lastIndex, t.lastTerm} {
			encoded = binary.BigEndian.AppendUint64(encoded, number)
		}
	}
	return encoded
}

// setLastEntry records that the log now ends with these entries.
func (t *groupDigest) setLastEntry(entries []*pb.Entry) {
	last := entries[len(entries)-1]
	t.lastIndex, t.lastTerm = last.GetIndex(), last.GetTerm()
}

// checksum returns the checksum of a stored value, or 0 if there is none.
func checksum(value []byte) uint64 {
	if value == nil {
		return 0
	}
	return xxhash.Sum64(value)
}

// withPreviousTerm prepends the term of the previous entry to an encoded entry. A log is then a chain from its snapshot to its
// last entry, and index and term identify an entry wherever it is stored.
func withPreviousTerm(previousTerm uint64, entry []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, previousTerm), entry...)
}

func splitPreviousTerm(value []byte) (previousTerm uint64, entry []byte, err error) {
	if len(value) < termBytes {
		return 0, nil, errWrongLength
	}
	return binary.BigEndian.Uint64(value), value[termBytes:], nil
}
