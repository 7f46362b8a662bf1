// Package reconcile moves the actual state towards the desired state while this process is the primary of control. It reconciles the
// lists of hosts and stores, the placement of shards, ejections, and control's own members and replicas.
//
// # Responsibilities
//
// A Reconciler compares the replicated state with the sessions, and proposes commands that remove the differences. Members does the same
// for the record: the in-sync set and the members of the control group. Neither stores a plan: each pass starts from the committed state.
//
// # Invariants
//
//   - Nothing changes without a commit under this process's lease, or a decided record.
//   - A step is based on what the commit or the proposal reads, not on what was read for the plan. A PutShard names the epoch that it is
//     based on, and a change of the record is computed from the record that a quorum returned.
//   - Shards that tolerate the fewest further losses are repaired first.
//   - No host or store is removed because of silence before this process became primary: all sessions start anew then.
//
// # Limits
//
// The package does not serve operators or hosts. Package placement decides which machines hold the shards, package membership which
// members join and leave, and package ejection which hosts are outliers.
//
// The design is that of the reconciling controllers of Kubernetes and of Borg's master (Verma et al., 2015).
//
// # Processing of a repair
//
// A store is silent until its machine counts as away. placement.Cluster computes the next placement of each of its shards, and the
// reconciler commits a PutShard for each. The stores receive the placement with the published view. When the new replica has caught up,
// the shard's primary requests its admission to the in-sync set (ChangeInSync), and the next pass continues from there.
package reconcile
