// Package store is the process that holds shards of agent programs on a storage machine. It leads the shards that control
// gives it and backs up others.
//
// # The life of one command
//
// A gateway calls KindProgram with a ProgramRequest. The server stamps the command with its time of day and submits it to the group
// of the shard (package multigroup), which replicates it and has programs.State carry it out. The answer goes back with the code of
// the result; a process that does not lead the shard answers codes.NotPrimary.
//
// # Which shards it holds
//
// The shard map comes from control (package feed). A shard whose replicas name this store is opened and given the view of the map; one
// that has moved away is dropped once the map is as new as the group. Replicas that lag or do not answer are reported to control,
// which decides on the in-sync set (controlclient.InSyncChange).
//
// # Invariants
//
//   - The store leads a shard only in the incarnation that the map names: after a restart control has to name it anew.
//   - It acts on no map of another cluster than the one its disk belongs to, and sends no heartbeat before it has a map of that
//     cluster.
//   - While its disk does not work it tells control that it is draining, so that others lead its shards.
//
// # What it must not do
//
// It decides nothing about who holds or leads a shard; package placement in control does.
package store
