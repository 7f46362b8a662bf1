package server

// This file owns the record that says, for every copy on a disk, what has to be found there. Each value has a check of its own, but
// a page number or a key that was changed may lead to an older page whose values are all well: a vote, a snapshot or entries
// that were written over since, or a log without its end. The record lies in one value beside the count of writes.

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// tail is what has to be found of one copy.
type tail struct {
	group      int
	hard, snap uint64 // checks of what lies there; 0: nothing does
	last, term uint64 // index and term of the last entry, or of the snapshot where there is none behind it
}

const tailBytes = 4 + 4*8

var errTails = errors.New("of another length")

func readTails(text []byte) (all []tail, err error) {
	if len(text)%tailBytes != 0 {
		return nil, errTails
	}
	for ; len(text) > 0; text = text[tailBytes:] {
		n := func(i int) uint64 { return binary.BigEndian.Uint64(text[4+8*i:]) }
		all = append(all, tail{int(binary.BigEndian.Uint32(text)), n(0), n(1), n(2), n(3)})
	}
	return all, nil
}

func tailsText(all []tail) (text []byte) {
	for _, t := range all {
		text = binary.BigEndian.AppendUint32(text, uint32(t.group))
		for _, n := range []uint64{t.hard, t.snap, t.last, t.term} {
			text = binary.BigEndian.AppendUint64(text, n)
		}
	}
	return text
}

// sum is the check of a value as it lies there.
func sum(value []byte) uint64 {
	if value == nil {
		return 0
	}
	return xxhash.Sum64(value)
}

// linked puts the term of the entry before in front of an entry: a log is then one chain from its snapshot to its last entry,
// and index and term name an entry wherever it lies.
func linked(before uint64, entry []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, before), entry...)
}

func unlinked(text []byte) (before uint64, entry []byte, err error) {
	if len(text) < 8 {
		return 0, nil, errTails
	}
	return binary.BigEndian.Uint64(text), text[8:], nil
}

// behind is what the last entry is after a write.
func (t *tail) behind(entries []*pb.Entry) {
	last := entries[len(entries)-1]
	t.last, t.term = last.GetIndex(), last.GetTerm()
}
