package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"otterseam/tier/codec"
)

// RecordKind tells what a journal record says.
type RecordKind uint8

// The kinds of journal records.
const (
	// RecordEntry is a log entry of a group. Entries of the same group at or above its index are replaced by it.
	RecordEntry RecordKind = iota + 1
	// RecordSnapshot replaces all that was written of the group before.
	RecordSnapshot
	// RecordDrop says that the group is no longer held here.
	RecordDrop
)

// Record is one durable event of a replicated group.
type Record struct {
	Kind  RecordKind
	Group uint32
	Index uint64 // of the entry, or of the last entry that the snapshot covers
	Epoch uint64
	Data  []byte
}

const (
	commitMagic       = uint32(0x4f434d54) // "OCMT"
	commitHeaderBytes = 4 + 4 + 4 + 8      // magic, length, checksum, sequence number
	minRecordBytes    = 1 + 4 + 8 + 8 + 4  // of a record without data
)

// commit is what is made durable at once.
type commit struct {
	sequence   uint64
	checkpoint bool // it holds the state of all groups; what stands before it is of no use
	records    []Record
}

func encodeCommit(c commit) []byte {
	var e codec.Encoder
	e.Bool(c.checkpoint)
	e.Uint32(uint32(len(c.records)))
	for _, record := range c.records {
		e.Uint8(uint8(record.Kind))
		e.Uint32(record.Group)
		e.Uint64(record.Index)
		e.Uint64(record.Epoch)
		e.Blob(record.Data)
	}
	encoded := make([]byte, 0, commitHeaderBytes+len(e.Bytes))
	encoded = binary.BigEndian.AppendUint32(encoded, commitMagic)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(e.Bytes)))
	encoded = binary.BigEndian.AppendUint32(encoded, commitChecksum(c.sequence, e.Bytes))
	encoded = binary.BigEndian.AppendUint64(encoded, c.sequence)
	return append(encoded, e.Bytes...)
}

func commitChecksum(sequence uint64, content []byte) uint32 {
	return checksum(fmt.Sprintf("commit-%d", sequence), content)
}

// decodeCommit reads the commit at the start of the data, if there is a complete one, and its length.
func decodeCommit(data []byte) (c commit, length int, ok bool) {
	if len(data) < commitHeaderBytes || binary.BigEndian.Uint32(data) != commitMagic {
		return c, 0, false
	}
	size := int(binary.BigEndian.Uint32(data[4:]))
	c.sequence = binary.BigEndian.Uint64(data[12:])
	if size > len(data)-commitHeaderBytes {
		return c, 0, false
	}
	content := data[commitHeaderBytes : commitHeaderBytes+size]
	if binary.BigEndian.Uint32(data[8:]) != commitChecksum(c.sequence, content) {
		return c, 0, false
	}
	d := codec.NewDecoder(content)
	c.checkpoint = d.Bool()
	for range d.Count(minRecordBytes) {
		c.records = append(c.records, Record{
			Kind: RecordKind(d.Uint8()), Group: d.Uint32(), Index: d.Uint64(), Epoch: d.Uint64(), Data: d.Blob(),
		})
	}
	return c, commitHeaderBytes + size, d.Err() == nil
}

// containsCommit tells whether a complete commit starts anywhere in the data.
func containsCommit(data []byte) bool {
	magic := binary.BigEndian.AppendUint32(nil, commitMagic)
	for {
		start := bytes.Index(data, magic)
		if start < 0 {
			return false
		}
		if _, _, ok := decodeCommit(data[start:]); ok {
			return true
		}
		data = data[start+1:]
	}
}
