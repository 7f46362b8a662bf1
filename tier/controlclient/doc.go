// Package controlclient is how other processes of the tier speak with control: the kinds of calls, their messages with one encode
// and one decode each, and a client that finds the primary.
//
// # The life of one call
//
// Client.Call asks the process that it last found to be the primary, or else one of the addresses in turn. A backup answers
// codes.NotPrimary with the address of the primary if it knows one, and the client goes there; a process that does not answer, or
// cannot decide now, sends it on to the next address. So a call ends with the answer of a primary or with its context.
//
// # Invariants
//
//   - A call that got no clear answer is made again by Client.Call. It has to be idempotent; Client.CallOnce is for those that are
//     not worth a second attempt.
//   - The encoded forms are held to recorded bytes: processes of two builds speak with each other during an upgrade.
//
// # What it must not do
//
// It knows nothing of elections and leases. Whether a process may answer as the primary is decided there, by package lease.
package controlclient
