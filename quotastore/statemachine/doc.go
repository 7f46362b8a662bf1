// Package statemachine implements the replicated state of one quota group as a deterministic state machine: every replica that
// applies the same commands in the same order has the same state and the same bytes of its snapshot.
//
// # What it owns
//
// Per group: the group's clock, client sessions, counters with the account of each holder, leases of holders, unreported usage,
// idempotency markers, and metered usage for billing. A holder is one incarnation of one API gateway.
//
// # Invariants
//
//   - The only time is that of the batches. The package never reads a clock, draws a random number or does I/O, and no result and
//     no floating-point sum depends on the iteration order of a map.
//   - The group's clock never goes back. Everything that expires does so by that clock.
//   - A command with a session takes effect once, however often it is proposed, as long as its session is known. Commands without
//     a session are idempotent by their content: they carry totals with a version instead of differences.
//   - After a holder's lease has expired no command of the holder changes a counter. The usage that it had reserved is released
//     once, and the usage that it had not reported is recovered once.
//
// # What is stored
//
// Batches are entries of the Raft log, and snapshots of State are Raft snapshots. Both are encoded in CBOR with numbered keys. A
// snapshot is sealed: a format version of four bytes, the body, and an xxHash64 checksum of both, big-endian. Numbers of keys,
// kinds and codes are never reused, and struct fields keep their order.
//
// # Source
//
// Sessions, and the discarding of replies that no client waits for, follow chapter 6 of Ongaro's dissertation on Raft,
// "Consensus: Bridging Theory and Practice" (2014).
package statemachine
