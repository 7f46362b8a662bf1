package rpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/internal/recorded"
)

// recordedFrame is a decoded frame.
type recordedFrame struct {
	head    header
	payload []byte
}

func appendRecorded(f recordedFrame) []byte {
	return appendFrame([]byte("before"), f.head, f.payload)[len("before"):]
}

func readRecorded(data []byte) (recordedFrame, error) {
	h, payload, err := readFrame(bytes.NewReader(data))
	return recordedFrame{h, payload}, err
}

func TestRecordedFrames(t *testing.T) {
	for name, frame := range map[string]recordedFrame{
		"frame-full":  {header{Kind: 0x0102, Code: 0x0304, ID: 0x1112131415161718}, []byte("a payload")},
		"frame-empty": {header{Kind: 61}, []byte{}},
	} {
		frame.head.Length = uint32(len(frame.payload))
		recorded.CheckBoth(t, name, frame, appendRecorded, readRecorded)
	}
}

// expect reads from a connection and compares the data with a recording.
func expect(t *testing.T, from net.Conn, name string) {
	t.Helper()
	got := make([]byte, len(recorded.Read(t, name)))
	if _, err := io.ReadFull(from, got); err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, name, got)
}

// send writes a recording to a connection.
func send(t *testing.T, to net.Conn, name string) {
	t.Helper()
	if _, err := to.Write(recorded.Read(t, name)); err != nil {
		t.Fatal(err)
	}
}

// The calls, answers and one-way messages that a connection writes equal the recordings, and it accepts the recorded ones.
func TestRecordedConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	if err := far.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	received := make(chan Message, 1)
	conn := newConn(near, func(m Message) {
		m.Answer(codes.NotPrimary, []byte("elsewhere"))
		received <- m
	})
	defer conn.Close()
	go conn.readLoop()

	type result struct {
		answer []byte
		err    error
	}
	results := make(chan result, 1)
	for _, each := range []struct {
		call, answer string
		want         result
	}{
		{"call-1", "answer-1", result{[]byte("an answer"), nil}},
		{"call-2", "answer-2", result{[]byte("10.0.0.1:7401"), codes.NotPrimary}},
	} {
		go func() {
			answer, err := conn.Call(contextWithTimeout(t, 10*time.Second), 23, []byte("a call"))
			results <- result{answer, err}
		}()
		expect(t, far, each.call)
		send(t, far, each.answer)
		if got := <-results; !bytes.Equal(got.answer, each.want.answer) || !errors.Is(got.err, each.want.err) {
			t.Fatalf("%s: %q, %v", each.answer, got.answer, got.err)
		}
	}
	conn.Send(10, []byte("a one-way message"))
	expect(t, far, "one-way")
	send(t, far, "call-1")
	if m := <-received; m.Kind != 23 || !m.IsCall() || !reflect.DeepEqual(m.Payload, []byte("a call")) {
		t.Fatalf("received message: %+v", m)
	}
	expect(t, far, "refusal")
	send(t, far, "one-way")
	if m := <-received; m.Kind != 10 || m.IsCall() || string(m.Payload) != "a one-way message" {
		t.Fatalf("received message: %+v", m)
	}
}
