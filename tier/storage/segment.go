package storage

import "fmt"

const (
	segmentPrefix = "segment"
	// maxSegmentBytes is the size behind which the next commit begins a new segment.
	maxSegmentBytes = 1 << 20
)

// segment is one file of the journal as found on disk.
type segment struct {
	path       string
	number     uint64
	commits    []commit
	validBytes int64 // of complete commits from the start
	fileBytes  int64
	// hasUnknownEnd says that what stands behind the complete commits is no torn commit of this format.
	hasUnknownEnd bool
}

// readSegment takes complete commits from the start of a segment. Complete commits behind a damaged one say that it was not torn
// by a loss of power, and are an error.
func readSegment(fs fileSystem, path string, number uint64) (segment, error) {
	content, err := fs.ReadFile(path)
	if err != nil {
		return segment{}, &CorruptRecordError{File: path, Reason: err.Error()}
	}
	s := segment{path: path, number: number, fileBytes: int64(len(content))}
	rest := content
	for len(rest) > 0 {
		c, length, ok := decodeCommit(rest)
		if !ok {
			break
		}
		s.commits = append(s.commits, c)
		s.validBytes += int64(length)
		rest = rest[length:]
	}
	if len(rest) > 0 && containsCommit(rest[1:]) {
		return segment{}, s.damaged("complete commits follow")
	}
	s.hasUnknownEnd = isOfUnknownFormat(rest)
	return s, nil
}

// startsWithCheckpoint tells whether older segments are of no use.
func (s *segment) startsWithCheckpoint() bool { return len(s.commits) > 0 && s.commits[0].checkpoint }

// isTorn tells whether something stands behind the complete commits.
func (s *segment) isTorn() bool { return s.validBytes < s.fileBytes }

// offsetOf is where a commit starts, by its position in the segment. It is needed for an error alone, and so not kept.
func (s *segment) offsetOf(position int) int64 {
	offset := int64(0)
	for _, c := range s.commits[:position] {
		offset += int64(len(encodeCommit(c)))
	}
	return offset
}

// damaged is the error for what stands behind the complete commits.
func (s *segment) damaged(reason string) error {
	return &CorruptRecordError{File: s.path, Offset: s.validBytes, Reason: "damaged commit: " + reason}
}

// checkSequence checks that no segment but the last is torn and that no commit is missing, and returns the sequence number that
// comes next, 0 if there is no commit.
func checkSequence(segments []segment) (next uint64, err error) {
	for i := range segments {
		s := &segments[i]
		if s.isTorn() && i < len(segments)-1 {
			return 0, s.damaged("later segments follow")
		}
		for position, c := range s.commits {
			if next != 0 && c.sequence != next {
				reason := fmt.Sprintf("commit %d is missing before commit %d", next, c.sequence)
				return 0, &CorruptRecordError{File: s.path, Offset: s.offsetOf(position), Reason: reason}
			}
			next = c.sequence + 1
		}
		if s.hasUnknownEnd {
			return 0, s.damaged("of a newer format, or not a journal")
		}
	}
	return next, nil
}

// cutTornEnd removes a torn commit from the end of the last segment and syncs what stays: a process that was killed may have left
// a complete commit that was not synced, and what is read now will be relied upon.
func (s *segment) cutTornEnd(fs fileSystem) error {
	f, err := fs.Open(s.path)
	if err != nil {
		return &WriteError{Err: err}
	}
	defer f.Close()
	if err := f.Truncate(s.validBytes); err != nil {
		return &WriteError{Err: err}
	}
	if err := f.Sync(); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}
