// Package placement decides which store machines hold which shards: where replicas are placed, who leads, which replicas may be
// dropped from an in-sync set, and when a machine may stop or go for good. It is pure: the state of the machines goes in, the next
// view of a shard comes out, one step at a time; the reconciliation loop of control commits it.
//
// # Sources
//
// Machines are ranked for a shard by rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996),
// spread over failure domains (zones) as CRUSH does. In-sync replicas and the least number of them are those of PacificA (Lin et al.,
// 2008) and of Kafka (min.insync.replicas).
//
// # The life of a shard
//
// [Cluster.Place] places it, [Cluster.Next] brings its view nearer to [Cluster.Desired] after each change of the machines, and its
// primary admits or drops replicas by [Cluster.ChangeInSync]. [LeastProtectedFirst] is the order of repairs.
//
// # Invariants
//
//   - The primary is in sync, and a replica enters the in-sync set only by its primary's word, never by placement.
//   - Each step raises the epoch by one and takes the view at most one move further; without a change, [Cluster.Next] says so.
//   - Silence takes no replica out of the in-sync set below its floor, nor any while more machines are silent than are tolerated:
//     then this process may be the one that cannot hear. Only a machine that is no longer known (its disk is lost) always leaves.
//   - From any state the steps come to rest, and with all machines well every shard has [Cluster.ReplicationFactor] replicas in sync
//     (TestPlacementComesToRest).
//   - The weight of a machine for a shard never changes, or shards would move.
//
// # Limits
//
// The package knows no clock: whether a machine is alive or away was decided by package lease.
package placement
