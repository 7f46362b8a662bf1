package httpguard

import (
	"bytes"
	"strings"
)

// maxFieldName is the length of the longest field name that the scanner has to recognize.
const maxFieldName = len("Transfer-Encoding")

// headScanner scans the head of a request as it arrives, without keeping it. Lines end with a line feed, as in net/http.
type headScanner struct {
	bytes     int
	lines     int
	lengths   int // number of Content-Length fields
	encodings int // number of Transfer-Encoding fields

	name      [maxFieldName]byte // start of the current line
	nameBytes int
	nameEnded bool // the line has a colon, or is too long to be recognized
	lineBytes int  // length of the current line so far
	lineFirst byte // its first byte
}

// scan scans bytes until the end of the head. It reports whether the head has ended.
func (s *headScanner) scan(data []byte) (ended bool) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		s.scanLine(line)
		if end < 0 {
			s.bytes += len(data)
			return false
		}
		s.bytes += end + 1
		data = data[end+1:]
		if s.lineBytes == 0 || (s.lineBytes == 1 && s.lineFirst == '\r') {
			return true
		}
		s.startLine()
	}
	return false
}

func (s *headScanner) startLine() {
	s.lines++
	s.nameBytes = 0
	s.nameEnded = false
	s.lineBytes = 0
}

// scanLine scans a part of a line without its line feed.
func (s *headScanner) scanLine(part []byte) {
	if s.lineBytes == 0 && len(part) > 0 {
		s.lineFirst = part[0]
	}
	s.lineBytes += len(part)
	if s.nameEnded {
		return
	}
	colon := bytes.IndexByte(part, ':')
	name := part
	if colon >= 0 {
		name = part[:colon]
	}
	if s.nameBytes+len(name) > maxFieldName {
		s.nameEnded = true
		return
	}
	s.nameBytes += copy(s.name[s.nameBytes:], name)
	if colon >= 0 {
		s.nameEnded = true
		s.countField(string(s.name[:s.nameBytes]))
	}
}

// countField counts a field that tells the length of the body.
func (s *headScanner) countField(name string) {
	switch {
	case s.lines == 0: // the request line
	case strings.EqualFold(name, "Content-Length"):
		s.lengths++
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.encodings++
	}
}

// The estimated memory of a request whose head has been read: of the request itself, and for each line and byte of its head.
const (
	requestCost  = 8 << 10
	lineCost     = 128
	headByteCost = 2
)

// cost returns the estimated memory of the head in bytes.
func (s *headScanner) cost() int64 {
	return requestCost + int64(s.lines)*lineCost + int64(s.bytes)*headByteCost
}
