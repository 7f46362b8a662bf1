// Package controlclient is the client side of the control service: the kinds of calls, the encoding and decoding of their messages, and
// a client that finds the primary.
//
// # Sequence of a call
//
// Client.Call calls the last known primary or, if none is known, the addresses in turn. A backup answers codes.NotPrimary with the
// address of the primary if it knows it, and the client calls that address next. If a process doesn't answer, or can't decide now, the
// client calls the next address. A call therefore ends with the answer of a primary or with its context.
//
// # Invariants
//
//   - Client.Call retries a call without a definite answer, so the call has to be idempotent. Client.CallOnce is for calls that aren't
//     worth a retry.
//   - Tests compare the encodings with recorded bytes, because processes of two builds call each other during an upgrade.
//
// # Limits
//
// The package doesn't depend on elections or leases. Package lease decides at the server whether a process may answer as the primary.
package controlclient
