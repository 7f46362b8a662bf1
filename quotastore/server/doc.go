// Package server runs one server of the quota store. It carries out the decisions of package replication: it owns the storage,
// the connections to the other servers, the listener for clients (gateways and operators' commands) and the listener for
// callers of the counter's published protocol.
//
// # What it owns
//
// [New] opens the storage and two listeners. [Server.Run] owns them and all goroutines, and closes everything after the
// goroutines have ended.
//
//   - The event loop (eventloop.go) owns the replication node. Everything that happens is passed to the node as an event, and
//     the event loop carries out all of the node's decisions. It never blocks on a connection or the disk.
//   - The writer (eventloop.go) owns the storage during a write. Each write is one transaction with everything that was decided
//     during the previous one.
//   - The transport (transport.go) owns the connections of peers and clients. A stream to each peer (peerstream.go) sends
//     messages on one connection, and each snapshot on a connection of its own, at a limited rate. A message that can't be
//     queued immediately is dropped, like one on a connection that breaks.
//   - The counter listener (counter.go) owns the connections of its callers. Pipelined calls are answered in order.
//   - The connections of a listener or transport are closed only by its connSet.
//
// [SendCommand], [Bootstrap] and [TakeSnapshot] are the client side of operators' commands.
//
// # Invariants
//
//   - Nothing that depends on a write is sent before the write is on disk. If a write fails, the server ends.
//   - The server makes no replication decisions of its own. The node makes them all.
//   - A replica never continues with data that may be incomplete. Corrupt data is set aside, and the replica starts empty in a
//     new incarnation, so that it never votes or acknowledges for the previous one.
//   - A call of the counter's protocol whose outcome is unknown ends its connection. It is never answered as rejected.
//
// # On-disk layout
//
// A server's data directory has two files:
//
//   - held.db, a bbolt database;
//   - held.count, the number of the last transaction (8 bytes, big endian), written after each commit.
//
// The database has four buckets. Each value is sealed with a checksum by statemachine.Seal. Numbers are big endian.
//
//	bucket  key                  value
//	node    id                   incarnation (4 bytes), cluster ID (8; 0: none)
//	node    count                number of the last transaction (8)
//	node    groups               for each group ever written: group (4), checksum of its hard state (8), of its snapshot (8),
//	                             index (8) and term (8) of the end of its log
//	hard    group (4)            raftpb.HardState
//	snap    group (4)            raftpb.Snapshot
//	log     group (4) index (8)  term of the previous entry (8), raftpb.Entry
//
// On opening, all of it is read, checked against the groups value and written to held.db.new, which is renamed to held.db.
// Without the rewrite, corrupt pages that no read touched would be reused. A database that fails the check is renamed to
// held.db.spoilt-TIME, where TIME is in nanoseconds.
//
// # Durability
//
// bbolt syncs each transaction before write returns. The directory is synced after the rename on opening. held.count is not
// synced: it detects a database that fell back to an older transaction because its newest page is corrupt. It does not protect
// against a power failure, after which it may be older than the database.
//
// A process that is killed at any moment loses nothing that was sent. A lost or corrupt disk loses this server's replicas,
// which are restored from the other servers. Without a data directory, the end of each process has the same effect as a lost
// disk.
package server
