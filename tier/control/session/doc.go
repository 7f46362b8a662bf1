// Package session keeps who was heard when: store machines, hosts of the operators' services, and control processes.
//
// # What it owns
//
// Sessions holds the times at which the primary heard each of them, on the bounds of package lease. UnreportedHosts holds the
// heartbeats that a backup acknowledged and has yet to report to the primary.
//
// # Invariants
//
//   - Only the primary's Sessions count. One that begins to lead begins all sessions anew: nobody is taken for silent because of a
//     time at which somebody else listened.
//   - A process that stood still can't tell who was silent meanwhile. Tick notices, and all sessions are extended.
//   - A host whose removal is under way is not told that its session is kept.
//
// # What it must not do
//
// It proposes nothing and removes nobody: it says who is silent, and package reconcile has the removal committed.
//
// Sessions with a primary that counts from its own clock are those of Chubby (Burrows, "The Chubby lock service for loosely-coupled
// distributed systems", 2006).
//
// # The life of a heartbeat
//
// A host's heartbeat that says what is committed already is acknowledged by whichever control process gets it. A backup notes it in
// its UnreportedHosts and reports the ages of these heartbeats in lists; the primary calls RenewHost for each, counted from a probe of
// its own that the backup had read when it wrote the report. ExpiredHosts lists whom nobody has heard for too long.
package session
