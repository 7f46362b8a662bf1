package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"

	"github.com/samber/oops"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
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
	segmentPrefix = "segment"
	segmentBytes  = 1 << 20
	// rewriteBytes is how much the journal may hold beyond twice its live state before it is written anew.
	rewriteBytes = 24 << 20

	commitMagic  = uint32(0x4f434d54)
	commitHeader = 4 + 4 + 4 + 8 // magic, length, checksum, sequence number
)

// Journal keeps records in the order in which they were appended, in segments of about a mebibyte. Each group commit is one
// write and one sync; it carries a checksum and a number, so that one that was torn by a loss of power is found out.
type Journal struct {
	on       disk
	dir      string
	first    uint64 // the oldest segment
	current  uint64 // the segment that is written
	file     diskFile
	size     int64  // of the current segment
	sequence uint64 // of the next commit
	bytes    int64
	live     int64 // bytes of the last rewrite
}

// OpenJournal opens or creates the folder and returns the records found there. A torn commit at the very end was never
// acknowledged and is cut off; damage elsewhere is an error.
func OpenJournal(dir string) (*Journal, []Record, error) { return openJournalOn(osDisk{}, dir) }

func openJournalOn(on disk, dir string) (*Journal, []Record, error) {
	if err := on.MakeFolder(dir); err != nil {
		return nil, nil, err
	}
	numbers, err := versionsIn(on, dir, segmentPrefix)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{on: on, dir: dir}
	records, err := j.load(numbers)
	if err != nil {
		return nil, nil, err
	}
	if err := j.startSegment(); err != nil {
		return nil, nil, err
	}
	return j, records, nil
}

// segment is one file of the journal as found on disk.
type segment struct {
	number  uint64
	commits []commit
	good    int64 // bytes of whole commits
	size    int64
}

type commit struct {
	sequence uint64
	whole    bool
	records  []Record
}

func (j *Journal) path(number uint64) string {
	return filepath.Join(j.dir, versionName(segmentPrefix, number))
}

func (j *Journal) load(numbers []uint64) ([]Record, error) {
	var segments []segment
	start := 0
	for _, number := range numbers {
		s, err := j.readSegment(number)
		if err != nil {
			return nil, err
		}
		if len(s.commits) > 0 && s.commits[0].whole {
			// older segments are leftovers whose removal a loss of power may have undone
			start = len(segments)
		}
		segments = append(segments, s)
	}
	segments = segments[start:]
	if len(segments) == 0 {
		return nil, nil
	}
	j.first = segments[0].number
	j.current = segments[len(segments)-1].number
	return j.fold(segments)
}

// fold checks that no commit is missing and returns the records of all.
func (j *Journal) fold(segments []segment) ([]Record, error) {
	var records []Record
	for position, s := range segments {
		last := position == len(segments)-1
		if s.good < s.size && !last {
			return nil, oops.Wrapf(codes.DiskDamaged, "journal: segment %d is damaged at byte %d", s.number, s.good)
		}
		if last {
			if err := settle(j.on, j.path(s.number), s.good); err != nil {
				return nil, err
			}
		}
		for _, c := range s.commits {
			if j.sequence != 0 && c.sequence != j.sequence {
				return nil, oops.Wrapf(codes.DiskDamaged, "journal: commit %d is missing in segment %d", j.sequence, s.number)
			}
			j.sequence = c.sequence + 1
			records = append(records, c.records...)
		}
		j.bytes += s.good
	}
	return records, nil
}

// settle removes a torn commit from the end of the last segment and syncs what stays: a process that was killed may have left
// a whole commit that was not synced, and what is read now will be relied upon.
func settle(on disk, path string, size int64) error {
	file, err := on.Open(path)
	if err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	if err := file.Sync(); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	return nil
}

// readSegment takes whole commits from the start of a segment. Whole commits behind a damaged one say that it was not torn by
// a loss of power, and are an error.
func (j *Journal) readSegment(number uint64) (segment, error) {
	content, err := j.on.ReadFile(j.path(number))
	if err != nil {
		return segment{}, oops.Wrapf(codes.DiskDamaged, "%s", err)
	}
	s := segment{number: number, size: int64(len(content))}
	rest := content
	for len(rest) > 0 {
		c, length, ok := decodeCommit(rest)
		if !ok {
			break
		}
		s.commits = append(s.commits, c)
		s.good += int64(length)
		rest = rest[length:]
	}
	if len(rest) > 0 && holdsCommit(rest[1:]) {
		return s, oops.Wrapf(codes.DiskDamaged, "journal: segment %d is damaged at byte %d", number, s.good)
	}
	return s, nil
}

// holdsCommit tells whether a whole commit starts anywhere in the bytes.
func holdsCommit(rest []byte) bool {
	magic := binary.BigEndian.AppendUint32(nil, commitMagic)
	for {
		at := bytes.Index(rest, magic)
		if at < 0 {
			return false
		}
		if _, _, ok := decodeCommit(rest[at:]); ok {
			return true
		}
		rest = rest[at+1:]
	}
}

// startSegment begins a new segment; nothing is ever written behind what was found at the start. The segment's name is durable
// before anything is written into it.
func (j *Journal) startSegment() error {
	next := j.current + 1
	file, err := j.on.Create(j.path(next))
	if err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	if err := syncFolder(j.on, j.dir); err != nil {
		_ = file.Close()
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	if j.first == 0 {
		j.first = next
	}
	if j.sequence == 0 {
		j.sequence = 1
	}
	j.file = file
	j.current = next
	j.size = 0
	return nil
}

// Append makes records durable in one commit and returns when they are.
func (j *Journal) Append(records []Record) error {
	if j.size > segmentBytes {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	return j.write(commit{sequence: j.sequence, records: records})
}

// write writes a commit at the end of the segment. After an error the same place is written again.
func (j *Journal) write(c commit) error {
	encoded := encodeCommit(c)
	if _, err := j.file.WriteAt(encoded, j.size); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	if err := j.file.Sync(); err != nil {
		return oops.Wrapf(codes.DiskWrite, "%s", err)
	}
	j.sequence++
	j.size += int64(len(encoded))
	j.bytes += int64(len(encoded))
	return nil
}

// NeedsCompaction tells whether the journal has grown so far that it should be written anew.
func (j *Journal) NeedsCompaction() bool { return j.bytes > 2*j.live+rewriteBytes }

// Compact replaces the journal by records that hold the whole state, and removes the old segments.
func (j *Journal) Compact(records []Record) error {
	if err := j.startSegment(); err != nil {
		return err
	}
	before := j.bytes
	if err := j.write(commit{sequence: j.sequence, whole: true, records: records}); err != nil {
		return err
	}
	for number := j.first; number < j.current; number++ {
		_ = j.on.Remove(j.path(number))
	}
	j.first = j.current
	j.live = j.bytes - before
	j.bytes = j.live
	return nil
}

// Close ends the journal; what was appended stays.
func (j *Journal) Close() error { return j.file.Close() }

func encodeCommit(c commit) []byte {
	var e codec.Encoder
	e.Bool(c.whole)
	e.Uint32(uint32(len(c.records)))
	for _, record := range c.records {
		e.Uint8(uint8(record.Kind))
		e.Uint32(record.Group)
		e.Uint64(record.Index)
		e.Uint64(record.Epoch)
		e.Blob(record.Data)
	}
	encoded := make([]byte, 0, commitHeader+len(e.Bytes))
	encoded = binary.BigEndian.AppendUint32(encoded, commitMagic)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(e.Bytes)))
	encoded = binary.BigEndian.AppendUint32(encoded, commitChecksum(c.sequence, e.Bytes))
	encoded = binary.BigEndian.AppendUint64(encoded, c.sequence)
	return append(encoded, e.Bytes...)
}

func commitChecksum(sequence uint64, content []byte) uint32 {
	return checksum(fmt.Sprintf("commit-%d", sequence), content)
}

const smallestRecord = 1 + 4 + 8 + 8 + 4

func decodeCommit(data []byte) (c commit, length int, ok bool) {
	if len(data) < commitHeader || binary.BigEndian.Uint32(data) != commitMagic {
		return c, 0, false
	}
	size := int(binary.BigEndian.Uint32(data[4:]))
	c.sequence = binary.BigEndian.Uint64(data[12:])
	if size > len(data)-commitHeader {
		return c, 0, false
	}
	content := data[commitHeader : commitHeader+size]
	if binary.BigEndian.Uint32(data[8:]) != commitChecksum(c.sequence, content) {
		return c, 0, false
	}
	d := codec.NewDecoder(content)
	c.whole = d.Bool()
	for range d.Count(smallestRecord) {
		c.records = append(c.records, Record{
			Kind: RecordKind(d.Uint8()), Group: d.Uint32(), Index: d.Uint64(), Epoch: d.Uint64(), Data: d.Blob(),
		})
	}
	return c, commitHeader + size, d.Err() == nil
}
