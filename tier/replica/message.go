package replica

import "otterseam/tier/codec"

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	// MessageAppend carries entries that follow an entry which the receiver must have. Without entries it is a heartbeat.
	MessageAppend MessageKind = iota + 1
	// MessageSnapshotChunk carries a chunk of a snapshot, for a replica whose log can't be continued.
	MessageSnapshotChunk
	// MessageAck acknowledges the entries that are durable at a replica.
	MessageAck
	// MessageLogMismatch reports that the replica lacks the entry before the appended ones.
	MessageLogMismatch
	// MessageStaleEpoch reports that the receiver's epoch has been superseded by a newer one.
	MessageStaleEpoch
	// MessageChunkAck reports how many bytes of a snapshot a replica has received.
	MessageChunkAck
	// MessageProbe asks a backup to confirm the primary, and confirms the backup.
	MessageProbe
	// MessageProbeResponse confirms the primary.
	MessageProbeResponse
)

// Message is a message between replicas of a group.
type Message struct {
	Kind      MessageKind
	Epoch     uint64
	Index     uint64 // index of the entry before Entries, of the snapshot, or of the last durable entry
	PrevEpoch uint64 // epoch of the entry at Index
	Commit    uint64
	Entries   []Entry
	Offset    uint32 // offset of Chunk in the snapshot, or the number of bytes received
	Total     uint32 // size of the snapshot
	Checksum  uint32 // CRC-32C of the snapshot
	Chunk     []byte // a part of the snapshot
	Probe     Probe  // only in probes and probe responses
}

// Timestamp identifies a probe by the incarnation of the sending process and by the time of its monotonic clock. The response
// echoes the timestamp, so that the sender measures from when it sent the probe and not from when it read the response.
type Timestamp struct {
	Incarnation uint64
	At          int64 // milliseconds
}

// Probe is the content of the messages with which a primary and a backup prove their contact.
type Probe struct {
	Sent   Timestamp // timestamp of this probe
	Echoed Timestamp // timestamp of the newest probe that the sender has read from the receiver
	// QuorumAge is set in a primary's probe: the time since it sent the newest probe that a majority has responded to, in
	// milliseconds, or noQuorum.
	QuorumAge int64
}

// noQuorum is the QuorumAge of a primary to which no majority has responded.
const noQuorum = -1

// minEntryBytes is the encoded size of an entry without data.
const minEntryBytes = 8 + 8 + 4

// DataBytes returns the size of the entries and of the chunk that the message carries.
func (m Message) DataBytes() int {
	total := len(m.Chunk)
	for _, entry := range m.Entries {
		total += minEntryBytes + len(entry.Data)
	}
	return total
}

// Encode appends the encoding of the message.
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

// DecodeMessage reads a message. A failure is reported by the decoder's Err.
func DecodeMessage(d *codec.Decoder) Message {
	m := Message{
		Kind: MessageKind(d.Uint8()), Epoch: d.Uint64(), Index: d.Uint64(), PrevEpoch: d.Uint64(), Commit: d.Uint64(),
	}
	for range d.Count(minEntryBytes) {
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

// Encode appends the encoding of the timestamp.
func (t Timestamp) Encode(e *codec.Encoder) {
	e.Uint64(t.Incarnation)
	e.Int64(t.At)
}

// DecodeTimestamp reads a timestamp.
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
