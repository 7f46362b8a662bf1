// Package reconcile brings what is there towards what should be there, while this process is the primary of control: the hosts and
// stores on the list, the placement of shards, ejections, and control's own members and replicas.
//
// # What it owns
//
// A Reconciler looks at the replicated state and at the sessions, and proposes the commands that bring them together. Members does the
// same for the record: the in-sync set and the members of the control group. Neither keeps a plan: each look starts from what is
// committed.
//
// # Invariants
//
//   - Nothing is changed without a commit under this process's lease, or a decided record.
//   - A step is built on what the commit or the proposal reads, not on what was seen when it was planned: a PutShard names the epoch
//     that it builds on, and a change of the record is computed from the record that a quorum returned.
//   - Shards with the fewest replicas to lose are repaired first.
//   - Nobody is given up at the start of a lead: sessions begin anew with it.
//
// # What it must not do
//
// It takes no calls of operators or hosts. Where shards go is decided in package placement, which members come and go in package
// membership, who is an outlier in package ejection.
//
// The scheme is that of the reconciling controllers of Kubernetes and of Borg's master (Verma et al., 2015).
//
// # The life of a repair
//
// A store is silent. Sessions say that it is away, placement.Cluster proposes the next placement of each of its shards, and the
// reconciler has a PutShard for each committed. The stores learn it from the published view; when the new replica has caught up, the
// shard's primary asks for it to be admitted (ChangeInSync), and the next look goes on from there.
package reconcile
