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

// recordedAnswer makes what a store answers; a zero code means that all was done.
func recordedAnswer(number uint64, reply statemachine.Reply) *protocol.Response {
	return &protocol.Response{RequestID: number, Leader: 1, Reply: reply}
}

// recordedLife has a gateway tell all that it can: counts, debts, marks, use, words that fail and are told again, being given
// up and asking for what was its own, and a stream that breaks. It gives what is asked, frame by frame, and what the
// answers meant.
func recordedLife(t *testing.T) (asked []*protocol.Frame, words []Outcome) {
	t.Helper()
	l := New("edge-3.7f00ba12")
	turn := func(now float64) (all []protocol.Request) {
		if all = l.TakeRequests(now); len(all) > 0 {
			asked = append(asked, protocol.RequestsFrame(all))
		}
		return all
	}
	put := func(now float64, name string, amount, places float64) uint64 {
		number, _, ok := l.ReportUsage(now, name, amount, places, 60)
		if !ok {
			t.Fatalf("%s can't be told", name)
		}
		return number
	}
	turn(1)
	first, second := put(1.01, "9041552", 3, 2), put(1.02, "9041552", 0.125, 0.5)
	turn(1.02)
	words = append(words, l.HandleResponse(1.03, recordedAnswer(first, statemachine.Reply{Total: 40, HolderTotal: 3, Clock: 99})),
		l.HandleResponse(1.04, recordedAnswer(second, statemachine.Reply{Total: 41.5, HolderTotal: 3.125, Clock: 99.5})))
	l.ClearUnreported()
	l.SetUnreported(1.1, "9041552", 7.5, 60)
	l.SetUnreported(1.1, "77", 0.1, 30)
	mark, again := l.AcquireMarker("fc64a7745d3a91c4", "pool-a", 0.5), l.AcquireMarker("44ff55230e6f2b19", "", 50)
	l.MeterUsage("gold 0011", 2.5)
	l.MeterUsage("gold 0011", 1)
	l.MeterUsage("free 0012", 0.25)
	turn(1.3)
	words = append(words, l.HandleResponse(1.31, recordedAnswer(mark, statemachine.Reply{Clock: 100})),
		l.HandleResponse(1.32, recordedAnswer(again, statemachine.Reply{Code: statemachine.MarkerHeld, MarkerHolder: "edge-1.1.0"})))
	l.ReleaseMarker("fc64a7745d3a91c4")
	for _, a := range turn(1.4) { // turned away, and said again
		words = append(words, l.HandleResponse(1.41, &protocol.Response{RequestID: a.ID, NotLeader: true, Leader: -1}))
	}
	l.MeterUsage("gold 0011", 1)
	lost := put(1.5, "77", 4, 4)
	turn(1.7)
	words = append(words, l.HandleResponse(1.71, &protocol.Response{RequestID: lost, Unknown: true}))
	l.RetractUsage("77", 4, 4, false)
	for _, a := range turn(2.6) { // given up: it goes on under another name, and asks for what was its own
		words = append(words, l.HandleResponse(2.61, recordedAnswer(a.ID, statemachine.Reply{Code: statemachine.LeaseExpired, Clock: 110})))
	}
	for _, a := range turn(2.7) {
		reply := statemachine.Reply{Clock: 111}
		if a.Command.Holder != l.Holder() {
			reply = statemachine.Reply{Code: statemachine.LeaseExpired, HolderTotal: 1.5, Total: 50, Clock: 111}
		}
		words = append(words, l.HandleResponse(2.71, recordedAnswer(a.ID, reply)))
	}
	l.ClearUnreported()
	l.SetUnreported(2.8, "9041552", 1.25, 60)
	put(2.9, "9041552", 1, 0.5)
	l.AcquireMarker("0123456789abcdef", "pool-b", 200)
	turn(3.8)
	words = append(words, l.StreamLost()...)
	turn(6)
	return asked, words
}

// What a gateway asks of stores is what the code of commit 1895881 asked, byte for byte, and is read as that.
func TestAsksAreTheRecordedBytes(t *testing.T) {
	asked, words := recordedLife(t)
	var got []byte
	kinds := map[statemachine.Kind]bool{}
	for _, f := range append([]*protocol.Frame{protocol.ClientHello()}, asked...) {
		var err error
		if got, err = f.AppendTo(got); err != nil {
			t.Fatal(err)
		}
		for _, a := range f.Requests {
			kinds[a.Command.Kind] = true
		}
	}
	for _, kind := range []statemachine.Kind{statemachine.ReportUsage, statemachine.RenewLease, statemachine.RecordUnreported, statemachine.AcquireMarker, statemachine.ReleaseMarker, statemachine.MeterUsage} {
		if !kinds[kind] {
			t.Errorf("%v was never asked for", kind)
		}
	}
	want, err := os.ReadFile(filepath.Join("testdata/recorded", "asks.bin"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("asked is\n%x\nrecorded is\n%x", got, want)
	}
	r := bytes.NewReader(want)
	for i, f := range append([]*protocol.Frame{protocol.ClientHello()}, asked...) {
		back, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
		if err != nil {
			t.Fatal(i, err)
		}
		if !reflect.DeepEqual(back, f) {
			t.Errorf("frame %d is read as\n%+v\nwanted is\n%+v", i, back, f)
		}
	}
	if r.Len() > 0 {
		t.Errorf("%d bytes are recorded that nobody asked", r.Len())
	}
	meant, err := os.ReadFile(filepath.Join("testdata/recorded", "meanings.bin"))
	if err != nil {
		t.Fatal(err)
	}
	if text := meanings(words); text != string(meant) {
		t.Errorf("the answers meant\n%s\nrecorded is\n%s", text, meant)
	}
}

// meanings is one line for each answer, without names of fields.
func meanings(words []Outcome) (text string) {
	for _, w := range words {
		text += fmt.Sprintln(int(w.Kind), w.RequestID, w.Total, w.Rejected, w.Unknown)
	}
	return text
}
