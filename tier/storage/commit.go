package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"otterseam/tier/codec"
)

// RecordKind is the kind of a journal record.
type RecordKind uint8

// Kinds of journal records.
const (
	// RecordEntry is a log entry of a group. It replaces earlier entries of the group with the same or a higher index.
	RecordEntry RecordKind = iota + 1
	// RecordSnapshot is a snapshot of a group's state. It replaces all earlier records of the group.
	RecordSnapshot
	// RecordDrop removes the group from this process.
	RecordDrop
)

// Record is one durable event of a replicated group.
type Record struct {
	Kind  RecordKind
	Group uint32
	Index uint64 // of the entry, or of the last entry in the snapshot
	Epoch uint64
	Data  []byte
}

const (
	commitMagic       = uint32(0x4f434d54) // "OCMT"
	commitHeaderBytes = 4 + 4 + 4 + 8      // magic, length, checksum, sequence number
	minCommitBytes    = 1 + 4              // content without records: checkpoint, number of records
	minRecordBytes    = 1 + 4 + 8 + 8 + 4  // size of a record without data
)

// commit is a group of records that is written and synced at once.
type commit struct {
	sequence   uint64
	checkpoint bool // the records hold the state of all groups, so that earlier commits are no longer needed
	records    []Record
}

func encodeCommit(c commit) []byte {
	size := commitHeaderBytes + minCommitBytes
	for _, record := range c.records {
		size += minRecordBytes + len(record.Data)
	}
	// the content is encoded behind the space for the header, so that a large commit is in memory only once
	e := codec.Encoder{Bytes: make([]byte, commitHeaderBytes, size)}
	e.Bool(c.checkpoint)
	e.Uint32(uint32(len(c.records)))
	for _, record := range c.records {
		e.Uint8(uint8(record.Kind))
		e.Uint32(record.Group)
		e.Uint64(record.Index)
		e.Uint64(record.Epoch)
		e.Blob(record.Data)
	}
	content := e.Bytes[commitHeaderBytes:]
	header := e.Bytes[:0]
	header = binary.BigEndian.AppendUint32(header, commitMagic)
	header = binary.BigEndian.AppendUint32(header, uint32(len(content)))
	header = binary.BigEndian.AppendUint32(header, commitChecksum(c.sequence, content))
	binary.BigEndian.AppendUint64(header, c.sequence)
	return e.Bytes
}

func commitChecksum(sequence uint64, content []byte) uint32 {
	return checksum(fmt.Sprintf("commit-%d", sequence), content)
}

// decodeCommit decodes the commit at the start of the data and returns its length. ok is false if there is no complete and valid
// commit.
func decodeCommit(data []byte) (c commit, length int, ok bool) {
	content, ok := commitContent(data)
	if !ok {
		return c, 0, false
	}
	c.sequence = binary.BigEndian.Uint64(data[12:])
	d := codec.NewDecoder(content)
	c.checkpoint = d.Bool()
	for range d.Count(minRecordBytes) {
		c.records = append(c.records, Record{
			Kind: RecordKind(d.Uint8()), Group: d.Uint32(), Index: d.Uint64(), Epoch: d.Uint64(), Data: d.Blob(),
		})
	}
	isValid := d.Err() == nil && len(d.Rest()) == 0 && !slices.ContainsFunc(c.records, hasUnknownKind)
	return c, commitHeaderBytes + len(content), isValid
}

func hasUnknownKind(r Record) bool { return r.Kind < RecordEntry || r.Kind > RecordDrop }

// commitContent returns the content of the commit at the start of the data. ok is false if the commit is incomplete or its checksum
// is wrong.
func commitContent(data []byte) (content []byte, ok bool) {
	if len(data) < commitHeaderBytes || binary.BigEndian.Uint32(data) != commitMagic {
		return nil, false
	}
	size := int(binary.BigEndian.Uint32(data[4:]))
	if size > len(data)-commitHeaderBytes {
		return nil, false
	}
	content = data[commitHeaderBytes : commitHeaderBytes+size]
	sequence := binary.BigEndian.Uint64(data[12:])
	return content, binary.BigEndian.Uint32(data[8:]) == commitChecksum(sequence, content)
}

// hasUnknownFormat reports whether data that does not start with a valid commit cannot be a torn commit either. After a power loss,
// a torn commit consists of bytes of the commit and zeros. A commit with the right checksum is not torn.
func hasUnknownFormat(data []byte) bool {
	if _, isComplete := commitContent(data); isComplete {
		return true
	}
	magic := binary.BigEndian.AppendUint32(nil, commitMagic)
	for i, b := range data[:min(len(magic), len(data))] {
		if b != 0 && b != magic[i] {
			return true
		}
	}
	return false
}

// containsCommit reports whether a complete commit starts anywhere in the data.
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
