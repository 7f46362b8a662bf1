// Package heartbeat takes the heartbeats of hosts, store machines and control processes, and sends those of this control process.
//
// # What it owns
//
// Hosts, Stores and Members each know what a heartbeat of their kind changes: the sender's session (package session), and the
// replicated state if the sender says something new of itself. Hosts also owns the reports by which a backup tells the primary whom it
// heard.
//
// # Invariants
//
//   - A heartbeat is acknowledged only with a lease, checked after the work and before the answer.
//   - What a host or store says of itself is acknowledged when it is committed. A heartbeat that says nothing new is not replicated.
//   - A host that deregistered is removed for good; one that was silent may come back.
//
// # What it must not do
//
// It removes nobody for silence; package reconcile does.
//
// # The life of a heartbeat
//
// Package api decodes it and asks KeepsSession: if this process has a lease and the heartbeat says what is committed, that is all.
// Otherwise it goes to the primary, which renews the session and has the news committed by a PutHost.
package heartbeat
