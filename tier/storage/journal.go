package storage

import "path/filepath"

// compactionSlackBytes is how much larger than twice its live state the journal may be before it should be compacted.
const compactionSlackBytes = 24 << 20

// Journal stores records in the order in which they were appended, in segments of about 1 MiB. Each group commit is one write and
// one sync. A commit contains a checksum and a sequence number, so that a commit that was torn by a power loss is detected. Journal
// is not safe for concurrent use.
type Journal struct {
	fs             fileSystem
	dir            string
	firstSegment   uint64 // number of the oldest segment
	currentSegment uint64 // number of the segment that is written
	file           file   // of the current segment
	segmentSize    int64  // of the current segment, in bytes
	nextSequence   uint64 // of the next commit
	totalBytes     int64
	liveBytes      int64 // of the last checkpoint
}

// OpenJournal opens or creates the folder and returns the records found there. A torn commit at the end was never acknowledged and
// is truncated. Damage anywhere else is a CorruptRecordError.
func OpenJournal(dir string) (*Journal, []Record, error) { return openJournalFS(osFileSystem{}, dir) }

func openJournalFS(fs fileSystem, dir string) (*Journal, []Record, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, err
	}
	numbers, err := listVersions(fs, dir, segmentPrefix)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{fs: fs, dir: dir}
	records, err := j.replay(numbers)
	if err != nil {
		return nil, nil, err
	}
	if err := j.startSegment(); err != nil {
		return nil, nil, err
	}
	return j, records, nil
}

func (j *Journal) path(number uint64) string {
	return filepath.Join(j.dir, versionName(segmentPrefix, number))
}

// replay reads the segments and returns their records. It changes nothing on disk before all segments were found to be valid.
func (j *Journal) replay(numbers []uint64) ([]Record, error) {
	segments, err := j.readSegments(numbers)
	if err != nil || len(segments) == 0 {
		return nil, err
	}
	if j.nextSequence, err = checkSequence(segments); err != nil {
		return nil, err
	}
	last := &segments[len(segments)-1]
	if err := last.truncateTornEnd(j.fs); err != nil {
		return nil, err
	}
	j.firstSegment = segments[0].number
	j.currentSegment = last.number
	var records []Record
	for _, s := range segments {
		j.totalBytes += s.validBytes
		for _, c := range s.commits {
			records = append(records, c.records...)
		}
	}
	return records, nil
}

// readSegments reads the segments from the newest checkpoint on.
func (j *Journal) readSegments(numbers []uint64) ([]segment, error) {
	var segments []segment
	start := 0
	for _, number := range numbers {
		s, err := readSegment(j.fs, j.path(number), number)
		if err != nil {
			return nil, err
		}
		if s.startsWithCheckpoint() {
			// a power loss may have undone the removal of older segments
			start = len(segments)
		}
		segments = append(segments, s)
	}
	return segments[start:], nil
}

// startSegment starts a new segment. Segments found at the start of the process are never appended to. The segment's name is durable
// before anything is written into the segment.
func (j *Journal) startSegment() error {
	next := j.currentSegment + 1
	f, err := j.fs.Create(j.path(next))
	if err != nil {
		return &WriteError{Err: err}
	}
	if err := syncDir(j.fs, j.dir); err != nil {
		_ = f.Close()
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // all its data was synced
	}
	if j.firstSegment == 0 {
		j.firstSegment = next
	}
	if j.nextSequence == 0 {
		j.nextSequence = 1
	}
	j.file = f
	j.currentSegment = next
	j.segmentSize = 0
	return nil
}

// Append writes records in one commit and returns when they are durable. An error is a WriteError. The records may then be appended
// again.
func (j *Journal) Append(records []Record) error {
	if j.segmentSize > maxSegmentBytes {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	return j.write(commit{sequence: j.nextSequence, records: records})
}

// write writes a commit at the end of the segment and syncs it. After an error the next call writes at the same offset.
func (j *Journal) write(c commit) error {
	encoded := encodeCommit(c)
	if _, err := j.file.WriteAt(encoded, j.segmentSize); err != nil {
		return &WriteError{Err: err}
	}
	if err := j.file.Sync(); err != nil {
		return &WriteError{Err: err}
	}
	j.nextSequence++
	j.segmentSize += int64(len(encoded))
	j.totalBytes += int64(len(encoded))
	return nil
}

// NeedsCompaction reports whether the journal has grown so much that it should be compacted.
func (j *Journal) NeedsCompaction() bool { return j.totalBytes > 2*j.liveBytes+compactionSlackBytes }

// Compact replaces the journal by a checkpoint and removes the old segments. The records must contain the state of all groups.
func (j *Journal) Compact(records []Record) error {
	if err := j.startSegment(); err != nil {
		return err
	}
	before := j.totalBytes
	if err := j.write(commit{sequence: j.nextSequence, checkpoint: true, records: records}); err != nil {
		return err
	}
	for number := j.firstSegment; number < j.currentSegment; number++ {
		_ = j.fs.Remove(j.path(number)) // if this fails, the next start ignores the segment
	}
	j.firstSegment = j.currentSegment
	j.liveBytes = j.totalBytes - before
	j.totalBytes = j.liveBytes
	return nil
}

// Close closes the current segment. All records stay on disk.
func (j *Journal) Close() error { return j.file.Close() }
