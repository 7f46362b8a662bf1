// Package placement decides which store machines hold which shards: where replicas are placed, which of them is the primary, which
// replicas may be dropped from the in-sync set, and when a machine may stop or be removed. It is pure: its input is the state of the
// machines, its output the next view of a shard, one step at a time. The reconciliation loop of control commits the view.
//
// # Sources
//
// Machines are ranked for a shard by rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996)
// and spread over failure domains (zones) as in CRUSH. The in-sync set and its minimum size follow PacificA (Lin et al., 2008) and
// Kafka (min.insync.replicas).
//
// # Life cycle of a shard
//
// [Cluster.Place] places a new shard. After each change of the machines, [Cluster.Next] brings the shard's view closer to
// [Cluster.Desired]. The shard's primary admits or drops replicas through [Cluster.ChangeInSync]. [LeastProtectedFirst] is the order
// of repairs.
//
// # Invariants
//
//   - The primary is in sync. A replica enters the in-sync set only at the request of its primary, never by placement.
//   - Each step increments the epoch by one and advances the view by at most one move. [Cluster.Next] reports whether it changed
//     anything.
//   - A silent machine's replica is not dropped from the in-sync set if that would shrink the set below its floor, nor while more
//     machines are silent than are tolerated, because then this process may be the one that is partitioned. A machine that is no
//     longer known (its disk is lost) is always dropped.
//   - From any state the steps converge, and if all machines are healthy every shard has [Cluster.ReplicationFactor] replicas in sync
//     (TestPlacementConverges).
//   - The weight of a machine for a shard never changes, because shards would move.
//
// # Limits
//
// The package has no clock. Package lease decides whether a machine is alive or away.
package placement
