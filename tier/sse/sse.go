// Package sse takes streams of events apart into whole events.
package sse

import (
	"bytes"
	"strconv"
)

// Event is one whole event.
type Event struct {
	Raw  []byte // with the empty line behind it
	ID   int64  // -1 if it has none
	Data []byte // lines of data joined by line feeds
}

// Splitter collects bytes until events are whole.
type Splitter struct {
	buffer []byte
}

// Add takes bytes of the stream and returns the events that are whole with them.
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

// Pending is how many bytes belong to an event that is not whole yet.
func (s *Splitter) Pending() int { return len(s.buffer) }

// eventEnd is the position behind the first empty line, or -1.
func eventEnd(buffer []byte) int {
	lf := bytes.Index(buffer, []byte("\n\n"))
	crlf := bytes.Index(buffer, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	default:
		return crlf + 3
	}
}

func parse(raw []byte) Event {
	event := Event{Raw: raw, ID: -1}
	first := true
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
			if !first {
				event.Data = append(event.Data, '\n')
			}
			first = false
			event.Data = append(event.Data, value...)
		}
	}
	return event
}
