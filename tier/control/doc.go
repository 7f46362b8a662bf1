// Package control implements a control process of the tier. The control processes maintain the configuration, the lists of hosts and
// store machines, and the placement of shards. This state is replicated from a primary to its backups, and each control process serves it
// to subscribers.
//
// # Responsibilities
//
// This package only connects the parts. A Server creates the parts, dispatches each message to its handler (dispatch.go), and determines
// the order in which the parts start and stop (server.go, shutdown.go). The parts are:
//
//   - state: the replicated state machine, without I/O
//   - proposal: execution of commands on the primary, in this process or another one
//   - election: the record of members and primary, votes, failover, leases
//   - session: sessions of hosts, stores and control processes
//   - heartbeat: processing of the heartbeats of hosts, stores and control processes
//   - ejection: which hosts are ejected as outliers, and for how long
//   - reconcile: the periodic work of the primary
//   - api: HTTP API for operators and hosts
//   - simulation: all parts in virtual time with injected faults (tests only)
//
// A part depends only on those before it in this list, and does not access the unexported fields of another.
//
// # Start and shutdown
//
// At the start, the disk, the elector and the replica are opened first. Then the listener for other processes, the background work and,
// last, HTTP are started. At shutdown (shutdown.go), another process first becomes primary and holds everything that this one
// acknowledged. Then HTTP, the background work and the listener stop, in this order.
//
// # Locks
//
// The comment at each lock says what it guards. No part calls another part while it holds a lock of its own. The lock of the replica
// (package multigroup) may be held while the lock of State (Apply) or of Sessions (Members.Handle) is acquired, never the other way
// round. The lock of the view is acquired while the lock of State is held.
//
// # Processing of a configuration change
//
//  1. api/config.go reads the request and validates the body (package opconfig).
//  2. proposal/proposal.go submits the change to the primary, which commits it.
//  3. state/config.go compares the base version with the current one and replaces the configuration.
//  4. Package feed, with the server's Publisher, distributes it to agents and proxies while the lease is valid.
//  5. Package proxy applies it to traffic.
package control
