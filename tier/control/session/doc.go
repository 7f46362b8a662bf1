// Package session keeps the sessions of store machines, of the hosts of operators' services, and of control processes.
//
// # Responsibilities
//
// Sessions is the primary's table of the last heartbeats. The timeouts are those of package lease. UnreportedHosts holds the heartbeats
// of hosts that a backup acknowledged and has not yet reported to the primary.
//
// # Invariants
//
//   - Only the primary's Sessions are used. A new primary starts all sessions anew, so that no session expires because of a time at
//     which another process received the heartbeats.
//   - A process that was stalled can't tell who was silent during the stall. Tick detects the stall and extends all sessions.
//   - While the removal of a host may be in flight, RenewHost reports it, and the host's heartbeat is not acknowledged on the strength of
//     its session.
//
// # Limits
//
// The package proposes nothing and removes nothing. It reports which sessions have expired, and package reconcile commits the removals.
//
// Sessions whose timeouts the primary measures with its own clock are those of Chubby (Burrows, "The Chubby lock service for
// loosely-coupled distributed systems", 2006).
//
// # Processing of a heartbeat
//
// Any control process with a lease acknowledges a host's heartbeat that matches the committed entry of the host. A backup adds the
// heartbeat to its UnreportedHosts and periodically sends the primary a report with the ages of these heartbeats. The primary calls
// RenewHost for each. It subtracts the age from the time at which it sent the newest probe that the backup had received before it wrote
// the report. ExpiredHosts returns the hosts that have been silent for too long.
package session
