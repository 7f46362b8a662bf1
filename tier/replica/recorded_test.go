package replica

import (
	"fmt"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/internal/recorded"
)

func recordedTimestamp() Timestamp { return Timestamp{Incarnation: 0x0807060504030201, At: 1_048_700} }

// recordedMessage returns a message of a kind with all fields set, except that only probes have Probe set.
func recordedMessage(kind MessageKind) Message {
	m := Message{
		Kind: kind, Epoch: 0x0102030405060708, Index: 0x1112131415161718, PrevEpoch: 0x2122232425262728, Commit: 0x3132333435363738,
		Entries: []Entry{
			{Index: 0x1112131415161719, Epoch: 0x0102030405060708, Data: []byte{}}, // an entry that opens an epoch
			{Index: 0x111213141516171a, Epoch: 0x0102030405060708, Data: []byte("first command")},
			{Index: 0x111213141516171b, Epoch: 0x0102030405060708, Data: []byte{0, 1, 254, 255}},
		},
		Offset: 0x41424344, Total: 0x51525354, Checksum: 0x61626364, Chunk: []byte("a piece of a snapshot"),
	}
	if m.carriesProbe() {
		m.Probe = Probe{Sent: recordedTimestamp(), Echoed: Timestamp{Incarnation: 0x7172737475767778, At: 1_048_650}, QuorumAge: 75}
	}
	return m
}

func encodeMessage(m Message) []byte {
	var e codec.Encoder
	m.Encode(&e)
	return e.Bytes
}

func decodeMessage(data []byte) (Message, error) {
	d := codec.NewDecoder(data)
	m := DecodeMessage(d)
	if len(d.Rest()) > 0 {
		return m, fmt.Errorf("%d bytes are left", len(d.Rest()))
	}
	return m, d.Err()
}

func TestRecordedMessages(t *testing.T) {
	for kind, name := range map[MessageKind]string{
		MessageAppend: "append", MessageSnapshotChunk: "install", MessageAck: "ack", MessageLogMismatch: "mismatch", MessageStaleEpoch: "stale",
		MessageChunkAck: "piece-received", MessageProbe: "probe", MessageProbeResponse: "probe-answer",
	} {
		recorded.CheckBoth(t, "message-"+name, recordedMessage(kind), encodeMessage, decodeMessage)
	}
}

func TestRecordedTimestamp(t *testing.T) {
	encode := func(s Timestamp) []byte {
		var e codec.Encoder
		s.Encode(&e)
		return e.Bytes
	}
	decode := func(data []byte) (Timestamp, error) {
		d := codec.NewDecoder(data)
		s := DecodeTimestamp(d)
		return s, d.Err()
	}
	recorded.CheckBoth(t, "stamp", recordedTimestamp(), encode, decode)
}

// recordedMachine is a state machine whose state is the restored snapshot.
type recordedMachine struct{ state []byte }

func (m *recordedMachine) Apply(uint64, []byte) any { return nil }
func (m *recordedMachine) Snapshot() []byte         { return m.state }
func (m *recordedMachine) Restore(state []byte) error {
	m.state = append([]byte(nil), state...)
	return nil
}

// The chunks of a snapshot and its checksum match the recording, and a replica restores its state from the recorded chunks.
func TestRecordedSnapshotChunks(t *testing.T) {
	view := View{Epoch: 5, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2}, MinInSync: 1}
	state := "the state of a group, in several pieces"
	primary, err := NewGroup(1, &recordedMachine{}, Snapshot{Index: 9, Epoch: 4, State: []byte(state)}, nil, Options{SnapshotChunkBytes: 16})
	if err != nil {
		t.Fatal(err)
	}
	primary.SetView(view, 1_000)
	primary.TakeOutput()
	primary.startTransfer(primary.peer(2), 1_000)
	messages := primary.TakeOutput().Messages
	if len(messages) != 3 {
		t.Fatalf("%d chunks", len(messages))
	}
	machine := &recordedMachine{}
	backup, err := NewGroup(2, machine, Snapshot{}, nil, Options{SnapshotChunkBytes: 16})
	if err != nil {
		t.Fatal(err)
	}
	for i, out := range messages {
		name := fmt.Sprintf("piece-%d", i+1)
		recorded.Check(t, name, encodeMessage(out.Message))
		message, err := decodeMessage(recorded.Read(t, name))
		if err != nil {
			t.Fatal(err)
		}
		backup.Step(1, message, 1_010)
	}
	if string(machine.state) != state {
		t.Fatalf("state: %q", machine.state)
	}
}
