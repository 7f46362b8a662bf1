package sse

import (
	"bytes"
	"strconv"
)

// NoID is the ID of an event without one.
const NoID = -1

// Event is one complete event.
type Event struct {
	Raw  []byte // as it came, with the empty line that ends it
	ID   int64  // NoID if it has none, or one that is no number
	Data []byte // its data lines joined by line feeds
}

// Splitter collects bytes until events are complete. Its zero value is ready; it is not safe for concurrent use.
type Splitter struct {
	buffer []byte
}

// Add takes bytes of the stream and returns the events that they complete.
func (s *Splitter) Add(data []byte) []Event {
	s.buffer = append(s.buffer, data...)
	var events []Event
	for {
		end := eventEnd(s.buffer)
		if end < 0 {
			return events
		}
		raw := append([]byte(nil), s.buffer[:end]...)
		s.buffer = s.buffer[end:]
		events = append(events, parse(raw))
	}
}

// Pending is how many bytes belong to an event that is not complete yet.
func (s *Splitter) Pending() int { return len(s.buffer) }

const (
	emptyLineLF   = "\n\n"
	emptyLineCRLF = "\n\r\n"
)

// eventEnd is the offset behind the first empty line, or -1 if there is none.
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

// parse reads the fields of a complete event that matter here. Other fields, and comments, stay in its bytes alone.
func parse(raw []byte) Event {
	event := Event{Raw: raw, ID: NoID}
	firstData := true
	for _, line := range bytes.Split(raw, []byte("\n")) {
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
			if !firstData {
				event.Data = append(event.Data, '\n')
			}
			firstData = false
			event.Data = append(event.Data, value...)
		}
	}
	return event
}
