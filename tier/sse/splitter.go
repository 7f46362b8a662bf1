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
}

// Splitter buffers the bytes of a stream until an event is complete. Its zero value is ready to use. It is not safe for concurrent
// use.
type Splitter struct {
	buffer []byte
}

// Add appends bytes of the stream and returns the events that they complete.
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
