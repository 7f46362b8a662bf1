// Package heartbeat processes the heartbeats of hosts, store machines and control processes, and sends those of this control process.
//
// # Responsibilities
//
// Hosts, Stores and Members each process one kind of heartbeat. They renew the sender's session (package session) and propose a change
// of the replicated state if the heartbeat differs from it. Hosts also sends the reports in which a backup lists the hosts whose
// heartbeats it acknowledged to the primary.
//
// # Invariants
//
//   - A heartbeat is acknowledged only with a lease, which is checked after the processing and before the response.
//   - A change of a host's or store's entry is acknowledged only after it was committed. A heartbeat that changes nothing is not
//     replicated.
//   - A host that deregistered is never listed again. One that was removed for silence may register again.
//
// # Limits
//
// The package removes no host or store for silence. Package reconcile decides that.
//
// # Processing of a host's heartbeat
//
// Package api decodes the heartbeat and calls KeepsSession. If this process has a lease and the heartbeat matches the committed entry of
// the host, no further step is needed. Otherwise the heartbeat is sent to the primary, which renews the session and commits the change
// as a PutHost.
package heartbeat
