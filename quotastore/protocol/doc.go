// Package protocol defines the messages between the replicas of the quota store, and between the store and its clients: gateways
// and operators' commands.
//
// # What it owns
//
// The wire format of a [Frame], the identifier of a replica and the constructors of a client's frames. It does no I/O of its
// own beyond reading from an io.Reader, keeps no state and starts no goroutine. What a message leads to is decided in
// quotastore/replication.
//
// # Wire format
//
// A stream is a sequence of frames. Each frame is its length in bytes (4 bytes, big endian, never 0 and at most
// [MaxFrameBytes]), then one CBOR map (RFC 8949) with integer keys: the `keyasint` numbers of the struct tags. [GroupHealth]
// alone has text keys. The first frame of a stream is a [Hello], which tells a replica's stream from a client's.
//
// Keys and text keys are fixed: replicas and gateways of different versions speak with each other. A new field gets a new
// number, and testdata/recorded holds the bytes of each kind.
//
// # Invariants
//
//   - A frame that [DecodeFrame] returns has a known kind, and the body that its kind needs.
//   - Memory for a frame grows with the bytes that arrived, not with the length that was announced.
//   - A [ReplicaID] is never used again: a replica that lost its data gets a new incarnation, so it can't vote or acknowledge
//     for the one before.
package protocol
