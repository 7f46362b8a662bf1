package storage

import "fmt"

const (
	segmentPrefix = "segment"
	// maxSegmentBytes is the size of a segment above which the next commit starts a new one.
	maxSegmentBytes = 1 << 20
)

// segment is one file of the journal as found on disk.
type segment struct {
	path       string
	number     uint64
	commits    []commit
	validBytes int64 // size of the complete commits at the start
	fileBytes  int64
	// endsInUnknownFormat is true if the data after the complete commits cannot be a torn commit of this format.
	endsInUnknownFormat bool
}

// readSegment reads the complete commits at the start of a segment. A complete commit after a damaged one is an error, since the
// damaged one was then not torn by a power loss.
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
		return segment{}, s.damageError("complete commits follow")
	}
	s.endsInUnknownFormat = hasUnknownFormat(rest)
	return s, nil
}

// startsWithCheckpoint reports whether the segment starts with a checkpoint, so that older segments are no longer needed.
func (s *segment) startsWithCheckpoint() bool { return len(s.commits) > 0 && s.commits[0].checkpoint }

// isTorn reports whether there is data after the complete commits.
func (s *segment) isTorn() bool { return s.validBytes < s.fileBytes }

// offsetOf returns the offset of the commit at a position in the segment. It is computed again because only errors need it.
func (s *segment) offsetOf(position int) int64 {
	offset := int64(0)
	for _, c := range s.commits[:position] {
		offset += int64(len(encodeCommit(c)))
	}
	return offset
}

// damageError returns the error for the data after the complete commits.
func (s *segment) damageError(reason string) error {
	return &CorruptRecordError{File: s.path, Offset: s.validBytes, Reason: "damaged commit: " + reason}
}

// checkSequence checks that only the last segment may be torn and that no commit is missing. It returns the next sequence number, or
// 0 if there is no commit.
func checkSequence(segments []segment) (next uint64, err error) {
	for i := range segments {
		s := &segments[i]
		if s.isTorn() && i < len(segments)-1 {
			return 0, s.damageError("later segments follow")
		}
		for position, c := range s.commits {
			if next != 0 && c.sequence != next {
				reason := fmt.Sprintf("commit %d is missing before commit %d", next, c.sequence)
				return 0, &CorruptRecordError{File: s.path, Offset: s.offsetOf(position), Reason: reason}
			}
			next = c.sequence + 1
		}
		if s.endsInUnknownFormat {
			return 0, s.damageError("of a newer format, or not a journal")
		}
	}
	return next, nil
}

// truncateTornEnd truncates a torn commit at the end of the last segment and syncs the rest. The sync is needed because a process
// that was killed may have left a complete commit that was not synced, and this process relies on what it reads.
func (s *segment) truncateTornEnd(fs fileSystem) error {
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
