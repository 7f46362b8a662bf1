package client

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// The code of commit 1895881 wrote the bytes in testdata/recorded.

// recordedSession collects the frames that a client sends and the outcomes of the responses.
type recordedSession struct {
	t        *testing.T
	client   *Client
	frames   []*protocol.Frame
	outcomes []Outcome
}

// respond passes a response of the store to the client. A reply with code zero means that the command was applied.
func (s *recordedSession) respond(now float64, id uint64, reply statemachine.Reply) {
	s.handle(now, &protocol.Response{RequestID: id, Leader: 1, Reply: reply})
}

func (s *recordedSession) handle(now float64, response *protocol.Response) {
	s.outcomes = append(s.outcomes, s.client.HandleResponse(now, response))
}

func (s *recordedSession) take(now float64) []protocol.Request {
	requests := s.client.TakeRequests(now)
	if len(requests) > 0 {
		s.frames = append(s.frames, protocol.RequestsFrame(requests))
	}
	return requests
}

func (s *recordedSession) report(now float64, key string, amount, reserved float64) uint64 {
	s.t.Helper()
	id, _, ok := s.client.ReportUsage(now, key, amount, reserved, 60)
	if !ok {
		s.t.Fatalf("usage of counter %s can't be reported", key)
	}
	return id
}

// playRecordedSession has a client send all kinds of requests: reports, records, markers, metered usage, requests that fail and
// are repeated, queries of former usage after the lease expired, and requests around the loss of the stream.
func playRecordedSession(t *testing.T) *recordedSession {
	t.Helper()
	s := &recordedSession{t: t, client: New("edge-3.7f00ba12")}
	s.playServed()
	s.playRejected()
	s.playLeaseLost()
	s.playStreamLost()
	return s
}

func (s *recordedSession) playServed() {
	c := s.client
	s.take(1)
	first, second := s.report(1.01, "9041552", 3, 2), s.report(1.02, "9041552", 0.125, 0.5)
	s.take(1.02)
	s.respond(1.03, first, statemachine.Reply{Total: 40, HolderTotal: 3, Clock: 99})
	s.respond(1.04, second, statemachine.Reply{Total: 41.5, HolderTotal: 3.125, Clock: 99.5})
	c.ClearUnreported()
	c.SetUnreported(1.1, "9041552", 7.5, 60)
	c.SetUnreported(1.1, "77", 0.1, 30)
	acquired, held := c.AcquireMarker("fc64a7745d3a91c4", "pool-a", 0.5), c.AcquireMarker("44ff55230e6f2b19", "", 50)
	c.MeterUsage("gold 0011", 2.5)
	c.MeterUsage("gold 0011", 1)
	c.MeterUsage("free 0012", 0.25)
	s.take(1.3)
	s.respond(1.31, acquired, statemachine.Reply{Clock: 100})
	s.respond(1.32, held, statemachine.Reply{Code: statemachine.MarkerHeld, MarkerHolder: "edge-1.1.0"})
	c.ReleaseMarker("fc64a7745d3a91c4")
}

func (s *recordedSession) playRejected() {
	for _, request := range s.take(1.4) {
		s.handle(1.41, &protocol.Response{RequestID: request.ID, NotLeader: true, Leader: -1})
	}
	s.client.MeterUsage("gold 0011", 1)
	lost := s.report(1.5, "77", 4, 4)
	s.take(1.7)
	s.handle(1.71, &protocol.Response{RequestID: lost, Unknown: true})
	s.client.RetractUsage("77", 4, 4, false)
}

func (s *recordedSession) playLeaseLost() {
	for _, request := range s.take(2.6) {
		s.respond(2.61, request.ID, statemachine.Reply{Code: statemachine.LeaseExpired, Clock: 110})
	}
	for _, request := range s.take(2.7) {
		reply := statemachine.Reply{Clock: 111}
		if request.Command.Holder != s.client.Holder() {
			reply = statemachine.Reply{Code: statemachine.LeaseExpired, HolderTotal: 1.5, Total: 50, Clock: 111}
		}
		s.respond(2.71, request.ID, reply)
	}
}

func (s *recordedSession) playStreamLost() {
	s.client.ClearUnreported()
	s.client.SetUnreported(2.8, "9041552", 1.25, 60)
	s.report(2.9, "9041552", 1, 0.5)
	s.client.AcquireMarker("0123456789abcdef", "pool-b", 200)
	s.take(3.8)
	s.outcomes = append(s.outcomes, s.client.StreamLost()...)
	s.take(6)
}

// stream returns all frames of the client's stream.
func (s *recordedSession) stream() []*protocol.Frame {
	return append([]*protocol.Frame{protocol.ClientHello()}, s.frames...)
}

func recordedBytes(t *testing.T, name string) []byte {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata/recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

func TestRequestsMatchRecordedBytes(t *testing.T) {
	var got []byte
	kinds := map[statemachine.Kind]bool{}
	for _, frame := range playRecordedSession(t).stream() {
		var err error
		if got, err = frame.AppendTo(got); err != nil {
			t.Fatal(err)
		}
		for _, request := range frame.Requests {
			kinds[request.Command.Kind] = true
		}
	}
	for _, kind := range []statemachine.Kind{
		statemachine.ReportUsage, statemachine.RenewLease, statemachine.RecordUnreported,
		statemachine.AcquireMarker, statemachine.ReleaseMarker, statemachine.MeterUsage,
	} {
		if !kinds[kind] {
			t.Errorf("no request of kind %v was sent", kind)
		}
	}
	if want := recordedBytes(t, "asks.bin"); !bytes.Equal(got, want) {
		t.Errorf("the frames are\n%x\nwant the recorded bytes\n%x", got, want)
	}
}

func TestRecordedRequestsDecode(t *testing.T) {
	r := bytes.NewReader(recordedBytes(t, "asks.bin"))
	for i, want := range playRecordedSession(t).stream() {
		got, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
		if err != nil {
			t.Fatal(i, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("frame %d decodes to\n%+v\nwant\n%+v", i, got, want)
		}
	}
	if r.Len() > 0 {
		t.Errorf("the recording has %d bytes after the last frame", r.Len())
	}
}

func TestOutcomesMatchRecording(t *testing.T) {
	want := string(recordedBytes(t, "meanings.bin"))
	if got := outcomeLines(playRecordedSession(t).outcomes); got != want {
		t.Errorf("the outcomes are\n%s\nwant those recorded\n%s", got, want)
	}
}

// outcomeLines returns one line for each outcome, without field names.
func outcomeLines(outcomes []Outcome) (lines string) {
	for _, o := range outcomes {
		lines += fmt.Sprintln(int(o.Kind), o.RequestID, o.Total, o.Rejected, o.Unknown)
	}
	return lines
}
