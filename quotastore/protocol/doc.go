// Package protocol defines the messages between the replicas of the quota store, and between the store and its clients, which
// are gateways and operators' commands.
//
// # What it owns
//
// The wire format of a [Frame], the identifier of a replica and the constructors of a client's frames. It does no I/O of its
// own beyond reading from an io.Reader, keeps no state and starts no goroutine. Package replication processes the messages.
//
// # Wire format
//
// A stream is a sequence of frames. Each frame is its length in bytes (4 bytes, big endian, never 0 and at most
// [MaxFrameBytes]), then one CBOR map (RFC 8949) with integer keys: the `keyasint` numbers of the struct tags. [GroupHealth]
// alone has text keys. The first frame of a stream is a [Hello], which distinguishes a replica's stream from a client's.
//
// Integer and text keys never change, because replicas and gateways of different versions exchange frames. A new field gets a
// new number. testdata/recorded holds the bytes of a frame of each kind.
//
// # Invariants
//
//   - A frame that [DecodeFrame] returns has a known kind, and the body of a hello or an operator's command is present.
//   - The memory allocated for a frame grows with the bytes received, not with the announced length.
//   - A [ReplicaID] is never reused: a replica that lost its data gets a new incarnation, so it can't vote or acknowledge in the
//     name of the previous one.
package protocol
