package server

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// logTail is what has to be found of one group's replica when its storage is opened again. Each value has a checksum of its
// own, but a page number or a key that was changed may lead to an older page whose values are all intact: a vote, a snapshot
// or entries that were overwritten since, or a log without its end. The tails of all groups lie in one value beside the number
// of the last transaction.
type logTail struct {
	group        int
	hardStateSum uint64 // checksum of the stored value; 0: none is stored
	snapshotSum  uint64 // likewise
	lastIndex    uint64 // of the last entry, or of the snapshot if no entry follows it
	lastTerm     uint64
}

// logTailBytes is the encoded size of a logTail: the group in 4 bytes, then four numbers of 8 bytes, all big endian.
const logTailBytes = 4 + 4*8

// termBytes is the size of the previous entry's term in front of a stored entry.
const termBytes = 8

func decodeLogTails(encoded []byte) (tails []logTail, err error) {
	if len(encoded)%logTailBytes != 0 {
		return nil, errWrongLength
	}
	for ; len(encoded) > 0; encoded = encoded[logTailBytes:] {
		number := func(i int) uint64 { return binary.BigEndian.Uint64(encoded[4+8*i:]) }
		tails = append(tails, logTail{
			group:        int(binary.BigEndian.Uint32(encoded)),
			hardStateSum: number(0),
			snapshotSum:  number(1),
			lastIndex:    number(2),
			lastTerm:     number(3),
		})
	}
	return tails, nil
}

func encodeLogTails(tails []logTail) (encoded []byte) {
	for _, t := range tails {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(t.group))
		for _, number := range []uint64{t.hardStateSum, t.snapshotSum, t.lastIndex, t.lastTerm} {
			encoded = binary.BigEndian.AppendUint64(encoded, number)
		}
	}
	return encoded
}

// appended notes that the log ends with these entries now.
func (t *logTail) appended(entries []*pb.Entry) {
	last := entries[len(entries)-1]
	t.lastIndex, t.lastTerm = last.GetIndex(), last.GetTerm()
}

// checksum is the checksum of a value as it is stored; 0 if there is none.
func checksum(value []byte) uint64 {
	if value == nil {
		return 0
	}
	return xxhash.Sum64(value)
}

// withPreviousTerm puts the term of the previous entry in front of an entry: a log is then one chain from its snapshot to its
// last entry, in which index and term name an entry wherever it is stored.
func withPreviousTerm(previousTerm uint64, entry []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, previousTerm), entry...)
}

func splitPreviousTerm(value []byte) (previousTerm uint64, entry []byte, err error) {
	if len(value) < termBytes {
		return 0, nil, errWrongLength
	}
	return binary.BigEndian.Uint64(value), value[termBytes:], nil
}
