// Package control is a control process of the tier: the configuration, the hosts and store machines that exist, and who holds which
// shard. The state is replicated from a primary to its backups; each control process also serves it to subscribers.
//
// # What it owns
//
// This package only wires. A Server makes the parts, hands each message to the part that takes it (dispatch.go), and says in which
// order the parts start and stop (server.go, shutdown.go). The parts are:
//
//   - state: the replicated state machine, a pure one
//   - proposal: commands carried out by the primary, here or elsewhere
//   - election: the record of members and primary, votes, failover, leases
//   - session: who was heard when
//   - heartbeat: what a heartbeat of a host, a store or a control process changes
//   - ejection: which hosts are outliers, and for how long
//   - reconcile: what is brought about while this process is primary
//   - api: HTTP for operators and hosts
//   - simulation: all of it in virtual time under faults (tests only)
//
// Parts know only those before them in this list, and none reaches into another's fields.
//
// # Order
//
// On the way up: disk, elector, replica; then the listener for other processes, the work in the background, and HTTP last. On the way
// down (shutdown.go): another process takes the lead and holds what this one acknowledged; then HTTP ends, then the work in the
// background, then the listener.
//
// # Locks
//
// Each part has one lock of its own, told in its comment, and calls no other part under it. The replica's lock, package multigroup's,
// may be held when the lock of State is taken (Apply), under which comes that of its view, or the lock of Sessions (Members.Handle);
// never the other way round.
//
// # The life of a configuration change
//
//  1. api/config.go reads the request and checks the body (package opconfig).
//  2. proposal/proposal.go has it committed by the primary.
//  3. state/config.go checks the version against the one in place and puts the change in force for new subscribers.
//  4. package feed, with the server's Publisher, distributes it to agents and proxies while the lease lasts.
//  5. package proxy puts it in force for traffic.
package control
