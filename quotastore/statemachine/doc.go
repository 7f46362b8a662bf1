// Package statemachine is the replicated state of one quota group, as a pure state machine: commands in their order go in, and the
// same state and the same bytes come out at every replica.
//
// # What it owns
//
// Per group: the group's clock, client sessions, counters with the account of each holder, leases of holders, unreported usage,
// idempotency markers, and metered usage for billing. A holder is one incarnation of one API gateway.
//
// # Invariants
//
//   - Time is what batches carry. The package never reads a clock, draws a random number, does I/O, or lets the iteration order of
//     a map show in a result or in a sum of floating point numbers.
//   - The group's clock never goes back; all that expires does so by that clock.
//   - A command with a session takes effect once, however often it is proposed, as long as its session is known. Commands without
//     one are idempotent by what they say: totals with a version, not differences.
//   - After a holder's lease has expired nothing that it says changes a counter. What it had reserved is given back once, and what
//     it had not reported is recovered once.
//
// # What is stored
//
// Batches are entries of the Raft log, and snapshots of State are Raft snapshots; both are CBOR with numbered keys. A snapshot is
// sealed: a format version of four bytes, the body, and an xxHash64 checksum of both, big-endian. Numbers of keys, kinds and codes
// are never given to something else, and struct fields keep their order.
//
// # Source
//
// Sessions and the discarding of results that no client waits for follow chapter 6 of Ongaro's dissertation on Raft,
// "Consensus: Bridging Theory and Practice" (2014).
package statemachine
