// Package membership determines the voters and the replicas of the group that holds the control state: the first members at bootstrap,
// when a spare process becomes a learner, when a learner is promoted, when a voter is replaced, and when one is removed without
// replacement. Its functions compute the next record from the current record and the observed state of the processes, one step at a
// time, and have no side effects. Package consensus decides the record.
//
// # Sources
//
// Members are changed one step at a time under joint majorities, as in Raft (Ongaro, 2014, chapter 4). A learner holds the state
// before it votes, as in etcd. An in-sync set that changes independently of the voters comes from PacificA (Lin et al., 2008), and its
// minimum size corresponds to min.insync.replicas of Kafka.
//
// # Invariants
//
//   - A step changes at most one voter.
//   - A process enters the in-sync set only when it holds all committed entries ([Step].Admit), except at bootstrap, when nothing has
//     been committed.
//   - Two subsets of the seeds never bootstrap two groups ([BootstrapInput]).
//   - The number of replicas that an acknowledgement needs is never lowered ([Policy.WithMinInSync]).
//   - Silence alone never reduces the in-sync set below [Policy.InSyncFloor], but a provably lost disk may. [IdentityTracker] describes
//     the proof.
//   - The primary never gives its own vote to another process.
//
// # Limits
//
// Times are milliseconds of the caller's monotonic clock. The package reads no clock and starts no goroutine. An [IdentityTracker] is
// not safe for concurrent use: its owner must synchronize access.
package membership
