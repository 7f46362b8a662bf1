package sse

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

const stream = "id: 1\ndata: a\n\nversions: 4\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata:d\r\n\r\n"

func TestEventsAreTakenApart(t *testing.T) {
	var s Splitter
	events := s.Add([]byte(stream))
	if len(events) != 3 || s.Pending() != 0 {
		t.Fatalf("%d events, %d bytes left", len(events), s.Pending())
	}
	for i, want := range []string{"a", "b\nc", "d"} {
		if string(events[i].Data) != want || events[i].ID != int64(i+1) {
			t.Errorf("event %d: %q with id %d", i, events[i].Data, events[i].ID)
		}
	}
}

// However the bytes arrive, the events are the same and no byte is lost.
func TestEventsDontDependOnHowBytesArrive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Splitter
		var raw []byte
		count := 0
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "bytes")
			for _, event := range s.Add(rest[:n]) {
				raw = append(raw, event.Raw...)
				count++
			}
			rest = rest[n:]
		}
		if count != 3 || !bytes.Equal(raw, []byte(stream)) {
			rt.Fatalf("%d events: %q", count, raw)
		}
	})
}

func TestAnEventThatIsCutIsNotGivenOut(t *testing.T) {
	var s Splitter
	if events := s.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n")); len(events) != 1 || s.Pending() == 0 {
		t.Fatalf("%d events, %d bytes left", len(events), s.Pending())
	}
}
