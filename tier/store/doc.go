// Package store implements the store process, which runs replicas of the shards of agent programs on a storage machine. It is the
// primary of the shards that control assigns to it, and a backup of others.
//
// # Processing of a command
//
// A gateway calls KindProgram with a ProgramRequest. The server sets the command's timestamp to its own time of day and submits the
// command to the group of the shard (package multigroup), which replicates it and applies it to programs.State. The answer contains
// the code of the result. A process that is not the primary of the shard answers codes.NotPrimary.
//
// # Admission
//
// Before a Begin is submitted, the primary checks that the replicas of the shard have room for what the turn may retain (package
// admission), and answers codes.StoreFull otherwise. It goes by the turns that it has admitted, by what its own shards hold, and by the
// RetainedUsage that the other replicas report when they hold much. Large commands, and answers with large chains, share a
// commandBudget.
//
// # Shard assignment
//
// The store receives the shard map from control (package feed). It opens each shard whose replicas include this store and sets the
// view of its group from the map. It drops a shard that has moved away once the map is at least as new as the group's view. The
// primary of a shard asks control to remove replicas that do not respond from the in-sync set and to add replicas that have caught
// up. Control decides (controlclient.InSyncChange).
//
// # Invariants
//
//   - The store is the primary of a shard only in the incarnation that the map contains. After a restart, control has to make it the
//     primary again.
//   - It does not act on the map of a cluster other than the one to which its disk is bound, and a store with a bound disk sends no
//     heartbeats before it has a map of that cluster.
//   - While its disk is degraded, it reports to control that it is leaving, so that other stores become primaries of its shards.
//
// # Non-goals
//
// The package does not decide which stores are replicas or primary of a shard. Package placement in control does.
package store
