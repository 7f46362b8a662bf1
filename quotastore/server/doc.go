// Package server runs one server of the quota store: it carries out what package replication decides. It has the storage, the
// connections to the other servers, the listener for clients (gateways and operators' commands) and the listener for callers
// of the counter's published protocol.
//
// # What it owns
//
// [New] opens the storage and two listeners; [Server.Run] owns them and every goroutine, waits for their end and closes all.
//
//   - The event loop (eventloop.go) owns the replication node. Everything that happens is told to it as an event, and all
//     that the node decides is carried out from it. It never waits for a connection or the disk.
//   - The writer (eventloop.go) owns the storage while a write is under way: one transaction for all that was decided during
//     the one before.
//   - The transport (transport.go) owns the peers' and clients' connections; a stream to each peer (peerstream.go) sends
//     messages on one connection and snapshots on others, at a bounded rate. What can't be queued at once is lost, as with a
//     connection that breaks.
//   - The counter listener (counter.go) owns its callers' connections. Pipelined calls are answered in their order.
//   - Each set of connections is closed by its connSet alone.
//
// [SendCommand], [Bootstrap] and [TakeSnapshot] are the other end of an operator's commands.
//
// # Invariants
//
//   - Nothing that rests on a write is sent before the write is on disk. If a write fails the server ends.
//   - The server decides nothing by itself: it is the node's hands.
//   - A replica never goes on with data that may be incomplete. Data that can't be trusted is set aside, and the replica
//     begins empty in a new incarnation, so that it never votes or acknowledges for the one before.
//   - A call of the counter's protocol of which nothing is known ends its connection; it is never answered as rejected.
//
// # On-disk layout
//
// A server's directory has two files:
//
//   - held.db, a bbolt database;
//   - held.count, the number of the last transaction (8 bytes, big endian), written after each commit.
//
// The database has four buckets. Each value is sealed with a checksum by statemachine.Seal; numbers are big endian.
//
//	bucket  key                  value
//	node    id                   incarnation (4 bytes), cluster ID (8; 0: none)
//	node    count                number of the last transaction (8)
//	node    groups               for each group ever written: group (4), checksum of its hard state (8), of its snapshot (8),
//	                             index (8) and term (8) of the end of its log
//	hard    group (4)            raftpb.HardState
//	snap    group (4)            raftpb.Snapshot
//	log     group (4) index (8)  term of the entry before (8), raftpb.Entry
//
// At opening all of it is read and checked against the groups value, then written to held.db.new, which is renamed to
// held.db: pages that nothing was read from may be corrupt and would be reused. A database that fails the check is renamed to
// held.db.spoilt-TIME, with TIME in nanoseconds.
//
// # What is synced when
//
// Each transaction is synced by bbolt before write returns; the directory is synced after the rename at opening.
// held.count is not synced: it guards against a database that falls back to an older transaction as its newest page is
// corrupt, not against a loss of power, after which it may be older than the database.
//
// What outlives what: a process killed at any moment loses nothing that was sent. A lost or corrupt disk loses this replica,
// which the others' replicas replace. Without a directory each process is such a loss.
package server
