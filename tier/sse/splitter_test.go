package sse

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const stream = "id: 1\ndata: a\n\nversions: 4\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata:d\r\n\r\n"

func TestSplitterReturnsEvents(t *testing.T) {
	var s Splitter
	events := s.Add([]byte(stream))
	if len(events) != 3 || s.Pending() != 0 {
		t.Fatalf("%d events, %d bytes pending", len(events), s.Pending())
	}
	for i, want := range []string{"a", "b\nc", "d"} {
		if string(events[i].Data) != want || events[i].ID != int64(i+1) {
			t.Errorf("event %d: %q with id %d", i, events[i].Data, events[i].ID)
		}
	}
}

// The events do not depend on how the stream is divided into chunks, and no byte is lost.
func TestEventsAreIndependentOfChunkBoundaries(t *testing.T) {
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

func TestIncompleteEventIsNotReturned(t *testing.T) {
	var s Splitter
	if events := s.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n")); len(events) != 1 || s.Pending() == 0 {
		t.Fatalf("%d events, %d bytes pending", len(events), s.Pending())
	}
}

func TestEmptyLineMayEndInLFOrCRLF(t *testing.T) {
	var splitter Splitter
	got := splitter.Add([]byte("id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\nid: 3\r\ndata: c\r\n\r\n"))
	if len(got) != 3 || string(got[1].Data) != "b" || got[2].ID != 3 || splitter.Pending() != 0 {
		t.Fatalf("%+v, %d pending", got, splitter.Pending())
	}
}

// The events do not depend on how the stream is divided into chunks, and no byte is lost or duplicated.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(3))
	f.Add([]byte("versions: 3\nid: 1\r\ndata: a\r\n\r\ndata:x\n\r\nrest"), uint8(1))
	f.Add([]byte("\n\n\r\n\r\n\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var whole, parts Splitter
		want := whole.Add(stream)
		var got []Event
		for rest := stream; len(rest) > 0; {
			n := min(int(step)+1, len(rest))
			got = append(got, parts.Add(rest[:n])...)
			rest = rest[n:]
		}
		if !reflect.DeepEqual(got, want) || parts.Pending() != whole.Pending() {
			t.Fatalf("in chunks of %d bytes: %+v, in one piece: %+v", int(step)+1, got, want)
		}
		var joined []byte
		for _, event := range want {
			joined = append(joined, event.Raw...)
		}
		if !bytes.HasPrefix(stream, joined) || len(joined)+whole.Pending() != len(stream) {
			t.Fatalf("%q was split into %q and %d pending bytes", stream, joined, whole.Pending())
		}
	})
}

// Guards against a cost of a long event that grows with the square of its size.
func BenchmarkLongEvent(b *testing.B) {
	line := bytes.Repeat([]byte("data: x\n"), 512)
	for b.Loop() {
		var s Splitter
		for range 1024 {
			s.Add(line)
		}
		if events := s.Add([]byte("\n")); len(events) != 1 {
			b.Fatalf("%d events", len(events))
		}
	}
}

func TestCommentsHaveNoData(t *testing.T) {
	var s Splitter
	got := s.Add([]byte(": ping\n\nid: 1\n\ndata:\n\n\n\n"))
	if len(got) != 4 || got[0].HasData || got[1].HasData || !got[2].HasData || got[3].HasData {
		t.Fatalf("%+v", got)
	}
}

func TestSplitterDropsTheBufferOfALongEvent(t *testing.T) {
	var s Splitter
	s.Add(bytes.Repeat([]byte("x"), 2*maxSpareBytes))
	if s.Add([]byte("\n\n")); cap(s.buffer) > maxSpareBytes {
		t.Fatalf("%d bytes are kept", cap(s.buffer))
	}
}
