package sse

import (
	"bytes"
	"strconv"
)

// NoID is the ID of an event that has no numeric ID.
const NoID = -1

// Event is one complete event.
type Event struct {
	Raw  []byte // the original bytes, including the empty line that ends the event
	ID   int64  // NoID if the event has no ID or its ID is not an integer
	Data []byte // the data lines, joined by line feeds
	// HasData is false for comments and other events without data lines.
	HasData bool
}

// maxSpareBytes is the capacity of the largest buffer that a Splitter keeps when it is empty.
const maxSpareBytes = 64 << 10

// Splitter buffers the bytes of a stream until an event is complete. Its zero value is ready to use. It is not safe for concurrent
// use.
type Splitter struct {
	buffer   []byte
	searched int // number of bytes at the start of the buffer in which no event ends
}

// Add appends bytes of the stream and returns the events that they complete.
func (s *Splitter) Add(data []byte) []Event {
	s.buffer = append(s.buffer, data...)
	var events []Event
	start := 0
	for {
		rest := s.buffer[start:]
		from := max(s.searched-(len(emptyLineCRLF)-1), 0) // an empty line may have begun before
		end := eventEnd(rest[from:])
		if end < 0 {
			break
		}
		end += from
		events = append(events, parse(bytes.Clone(rest[:end])))
		start += end
		s.searched = 0
	}
	s.drop(start)
	s.searched = len(s.buffer)
	return events
}

// drop removes bytes at the start of the buffer.
func (s *Splitter) drop(count int) {
	if count == 0 {
		return
	}
	if count == len(s.buffer) && cap(s.buffer) > maxSpareBytes {
		s.buffer = nil
		return
	}
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[count:])]
}

// Pending returns the number of bytes of the event that is not complete yet.
func (s *Splitter) Pending() int { return len(s.buffer) }

const (
	emptyLineLF   = "\n\n"
	emptyLineCRLF = "\n\r\n"
)

// eventEnd returns the offset after the first empty line, or -1 if there is none.
func eventEnd(buffer []byte) int {
	lf := bytes.Index(buffer, []byte(emptyLineLF))
	crlf := bytes.Index(buffer, []byte(emptyLineCRLF))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len(emptyLineLF)
	default:
		return crlf + len(emptyLineCRLF)
	}
}

// parse reads the id and data fields of a complete event. Other fields, and comments, are only in its raw bytes.
func parse(raw []byte) Event {
	event := Event{Raw: raw, ID: NoID}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				event.ID = id
			}
		case "data":
			if event.HasData {
				event.Data = append(event.Data, '\n')
			}
			event.HasData = true
			event.Data = append(event.Data, value...)
		}
	}
	return event
}
