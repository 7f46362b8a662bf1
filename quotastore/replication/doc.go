// Package replication is one server of the quota store: replicas of groups of quota state (package statemachine), kept the same over
// several servers by Raft, and the way of requests to the server that leads a group.
//
// # What it owns
//
// Node is the server: what it knows of the others, its replicas, and a client of each group. A replica is the Raft state of one
// group here, with its proposals in flight, its clock, its snapshots and, while it leads, the group's membership. A group client
// submits commands to whoever leads a group, in a session by which a command that is sent twice takes effect once.
//
// # How to call it
//
// Tick, Receive, PeerDown, SnapshotFailed, Submit, HandleClient and HandleAdmin bring in what happens. After any of them Ready
// returns what has to be written and Advance says that it is, again and again until Ready returns nil; then TakeMessages returns
// what has to be sent. A Node is not safe for concurrent use.
//
// # Invariants
//
//   - Everything is decided from what comes in and when. The package never does I/O, reads a clock, or draws random numbers that its
//     seed does not give.
//   - A command is answered after its entry is committed, by the replica that proposed it. A command that was sent is never said to be
//     rejected; it may be said to be unknown.
//   - No message that rests on a write is sent before the write is durable, but for what a leader sends (Ongaro's dissertation on
//     Raft, section 10.2.1).
//   - A server that lost its disk has another incarnation, and with it another Raft ID: it never votes for what it has forgotten.
//   - The group's clock goes on with its leader's monotonic clock and stands still without a leader, so nothing expires unheard.
//   - Servers with the same list and the same view of who is alive place the replicas of a group alike.
//
// # What is stored
//
// Write and PersistentState: Raft's hard state, log entries (encoded statemachine.Batch) and snapshots (statemachine.State) of each
// group, in the Raft library's protocol buffers. Package server lays them on disk.
//
// # Source
//
// Raft as in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), by go.etcd.io/raft, with PreVote,
// CheckQuorum and joint consensus. Replicas are placed by rendezvous hashing (Thaler and Ravishankar, 1998).
package replication
