package replica

import "otterseam/tier/codec"

// MessageKind tells what a message between replicas says.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	// MessageAppend carries entries behind one that both are to hold. Without entries it is a heartbeat.
	MessageAppend MessageKind = iota + 1
	// MessageSnapshotChunk carries a chunk of a snapshot, for a replica whose log can't be continued.
	MessageSnapshotChunk
	// MessageAck says what is durable at a replica.
	MessageAck
	// MessageLogMismatch says that the entry before the appended ones isn't held.
	MessageLogMismatch
	// MessageStaleEpoch says that the receiver's epoch has passed.
	MessageStaleEpoch
	// MessageChunkAck says how many bytes of a snapshot a replica holds.
	MessageChunkAck
	// MessageProbe asks a backup to confirm the primary, and confirms the backup.
	MessageProbe
	// MessageProbeResponse confirms the primary.
	MessageProbeResponse
)

// Message is what replicas of a group send each other.
type Message struct {
	Kind      MessageKind
	Epoch     uint64
	Index     uint64 // before the entries, of the snapshot, or durable
	PrevEpoch uint64 // epoch of the entry at Index
	Commit    uint64
	Entries   []Entry
	Offset    uint32 // of a chunk in the snapshot, or bytes held of it
	Total     uint32 // bytes of the snapshot
	Checksum  uint32 // CRC-32C of the snapshot
	Chunk     []byte // of the snapshot
	Probe     Probe  // of probes and their responses alone
}

// Timestamp names a probe by the incarnation of the process that sent it and by its monotonic clock at that moment. Whoever
// responds returns the timestamp, so that the sender counts from when it sent the probe and never from when it happened to read
// the response.
type Timestamp struct {
	Incarnation uint64
	At          int64 // milliseconds
}

// Probe is what a primary and a backup send each other to prove their contact.
type Probe struct {
	Sent   Timestamp // of this probe
	Echoed Timestamp // of the newest probe of the receiver that the sender has read
	// QuorumAge is, in a primary's probe, how long ago it sent the newest probe that a majority has answered, in
	// milliseconds, or noQuorum.
	QuorumAge int64
}

// noQuorum is the QuorumAge of a primary that no majority has answered.
const noQuorum = -1

// smallestEntry is what an entry without data takes in a message, in bytes.
const smallestEntry = 8 + 8 + 4

// Encode appends the message's form on the wire.
func (m Message) Encode(e *codec.Encoder) {
	e.Uint8(uint8(m.Kind))
	e.Uint64(m.Epoch)
	e.Uint64(m.Index)
	e.Uint64(m.PrevEpoch)
	e.Uint64(m.Commit)
	e.Uint32(uint32(len(m.Entries)))
	for _, entry := range m.Entries {
		e.Uint64(entry.Index)
		e.Uint64(entry.Epoch)
		e.Blob(entry.Data)
	}
	e.Uint32(m.Offset)
	e.Uint32(m.Total)
	e.Uint32(m.Checksum)
	e.Blob(m.Chunk)
	if m.carriesProbe() {
		m.Probe.encode(e)
	}
}

func (m Message) carriesProbe() bool {
	return m.Kind == MessageProbe || m.Kind == MessageProbeResponse
}

// DecodeMessage reads a message. The decoder says whether it could be read.
func DecodeMessage(d *codec.Decoder) Message {
	m := Message{
		Kind: MessageKind(d.Uint8()), Epoch: d.Uint64(), Index: d.Uint64(), PrevEpoch: d.Uint64(), Commit: d.Uint64(),
	}
	for range d.Count(smallestEntry) {
		m.Entries = append(m.Entries, Entry{Index: d.Uint64(), Epoch: d.Uint64(), Data: d.Blob()})
	}
	m.Offset = d.Uint32()
	m.Total = d.Uint32()
	m.Checksum = d.Uint32()
	m.Chunk = d.Blob()
	if m.carriesProbe() {
		m.Probe = decodeProbe(d)
	}
	return m
}

// Encode appends a timestamp to a message.
func (t Timestamp) Encode(e *codec.Encoder) {
	e.Uint64(t.Incarnation)
	e.Int64(t.At)
}

// DecodeTimestamp reads a timestamp from a message.
func DecodeTimestamp(d *codec.Decoder) Timestamp {
	return Timestamp{Incarnation: d.Uint64(), At: d.Int64()}
}

func (p Probe) encode(e *codec.Encoder) {
	p.Sent.Encode(e)
	p.Echoed.Encode(e)
	e.Int64(p.QuorumAge)
}

func decodeProbe(d *codec.Decoder) Probe {
	return Probe{Sent: DecodeTimestamp(d), Echoed: DecodeTimestamp(d), QuorumAge: d.Int64()}
}
