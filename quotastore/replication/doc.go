// Package replication implements one server of the quota store as a deterministic state machine. It replicates groups of quota state
// (package statemachine) over several servers by Raft, and routes requests to the server that leads a group.
//
// # What it owns
//
// Node is the server. It holds the status of its peers, its replicas, and a client of each group. A replica is the Raft state of one
// group on this server, with its proposals in flight, its clock, its snapshots and, while it leads, the management of the group's
// membership. A group client submits commands to the leader of a group, in a session so that a command that is sent twice takes
// effect once.
//
// # How to call it
//
// Tick, Receive, PeerDown, SnapshotFailed, Submit, HandleClient and HandleAdmin are the inputs. After each of them the caller calls
// Ready, makes the returned writes durable and calls Advance, repeatedly until Ready returns nil. It then sends the messages that
// TakeMessages returns. A Node is not safe for concurrent use.
//
// # Invariants
//
//   - The behaviour depends only on the inputs and their times. The package never does I/O or reads a clock, and it draws random
//     numbers only from its seed.
//   - A command is answered after its entry is committed, by the replica that proposed it. The outcome of a command that may have
//     been proposed is never Rejected; it may be Unknown.
//   - No message that depends on a write is sent before the write is durable, except the messages of a leader (Ongaro's dissertation
//     on Raft, section 10.2.1).
//   - A server that lost its disk has a new incarnation, and with it a new Raft ID. So it never votes in the name of the incarnation
//     whose votes it has lost.
//   - The group's clock advances with the leader's monotonic clock and stops while there is no leader, so that nothing expires while
//     holders can't renew their leases.
//   - Servers with the same list and the same view of which servers are alive choose the same servers for the replicas of a group.
//
// # What is stored
//
// Write and PersistentState hold Raft's hard state, log entries (encoded statemachine.Batch) and snapshots (statemachine.State) of
// each group, in the Raft library's protocol buffers. Package server stores them on disk.
//
// # Source
//
// Raft is described by Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014). The implementation is
// go.etcd.io/raft, with PreVote, CheckQuorum and joint consensus. Replicas are placed by rendezvous hashing (Thaler and
// Ravishankar, 1998).
package replication
