// Package consensus is the register on which the control processes, or the stores of a shard, agree who leads: it holds one
// [Record] (epoch, primary, in-sync replicas, voters) and changes it by compare-and-set. It is single-decree Paxos used as a
// compare-and-set register; it is no log, the log of a group is replicated by package replica under the epoch decided here.
//
// # Sources
//
// Prepare and accept are those of Lamport, "Paxos Made Simple" (2001); reading with a prepare and writing the changed value
// under the same proposal number is CASPaxos (Rystsov, 2018). That a small register names the configuration of a
// primary-backup log is PacificA (Lin et al., Microsoft Research, 2008). A change of voters is decided by a majority of the
// voters before and of those after, as joint consensus in Raft (Ongaro and Ousterhout, 2014).
//
// # The life of one change
//
//  1. A [RoundAllocator] hands out a round that no proposal of this process has used, in this incarnation or an earlier one.
//  2. A [Proposal] under that number asks the voters for a promise (prepare) and learns the newest accepted record.
//  3. The [Change] is applied to that record, and the voters are asked to accept the result.
//  4. A quorum that accepts decides. Otherwise [Propose] tries again under a higher number, a bounded number of times.
//
// # Invariants
//
//   - A proposal number is used by one proposal only, and an acceptor accepts at most one value under it.
//   - An acceptor's state is durable before its response is sent.
//   - Each decided record follows from the one decided before: a quorum of both has answered.
//   - A record that changed the voters is decided before another record follows it ([Record].Previous is empty or confirmed).
//   - An acceptor whose disk was lost never votes again under its identity; see [QuorumWithLostDisks].
//
// TestNoInterleavingDecidesTwoHistories plays every interleaving of two proposers up to a number of steps against them.
//
// # Errors
//
// [Propose] and [Bootstrap] return codes.Timeout when the context ended first and codes.Unavailable when no quorum was reached,
// both to be tested with errors.Is. After either, the change may or may not take effect later. An error of the disk that keeps
// the rounds is returned as it came.
//
// # Limits
//
// The package reads no clock, socket or disk. Apart from [Propose] and [Bootstrap], which run a proposal over a [Transport],
// it starts no goroutine. A [Proposal] and an [Acceptor] have one owner; a [RoundAllocator] may be used concurrently.
package consensus
