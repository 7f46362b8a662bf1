// Package membership decides who votes in the group that holds the control state and who holds its replicas: the first members at
// bootstrap, when a spare becomes a learner, when a learner is promoted, when a voter is replaced and when one is removed with none
// in its place. It is pure: the record in force and what is known of the processes go in, the next record comes out, one step at
// a time; package consensus decides it.
//
// # Sources
//
// Members are changed one step at a time under joint majorities, as in Raft (Ongaro, 2014, chapter 4). A learner holds the state
// before it votes, as in etcd. That the in-sync set shrinks and grows apart from the voters is PacificA (Lin et al., 2008), and its
// least size, min.insync.replicas, is that of Kafka.
//
// # Invariants
//
//   - A step changes at most one voter.
//   - A process enters the in-sync set only when it holds all that was committed ([Step].Admit), except at bootstrap, where
//     nothing was committed yet.
//   - Two parts of the seeds never bootstrap two groups ([BootstrapInput]).
//   - The replicas that an acknowledgement needs are never lowered ([Policy.WithMinInSync]).
//   - Silence alone never takes the in-sync set below [Policy.InSyncFloor]; a disk that is provably lost may. What proves it, see
//     [IdentityTracker].
//   - The primary never gives away its own vote.
//
// # Limits
//
// Times are milliseconds of the caller's monotonic clock. The package reads no clock and starts no goroutine; an
// [IdentityTracker] has one owner, who guards it.
package membership
