// Package consensus implements the register in which the control processes, or the stores of a shard, agree on their primary.
// It holds one [Record] (epoch, primary, in-sync replicas, voters) and changes it by compare-and-set, using single-decree Paxos.
// It is not a log: package replica replicates a group's log, under the epoch decided here.
//
// # Sources
//
// Prepare and accept are those of Lamport, "Paxos Made Simple" (2001). Reading with a prepare and writing the changed value
// under the same proposal number follows CASPaxos (Rystsov, 2018). A small register that holds the configuration of a
// primary-backup log follows PacificA (Lin et al., Microsoft Research, 2008). A change of voters needs a majority of the old
// voters and a majority of the new ones, as in Raft's joint consensus (Ongaro and Ousterhout, 2014).
//
// # Steps of one change
//
//  1. A [RoundAllocator] returns a round that no proposal of this process has used, in this incarnation or an earlier one.
//  2. A [Proposal] with that number asks the voters for a promise (prepare) and learns the newest accepted record.
//  3. The [Change] is applied to that record, and the voters are asked to accept the result.
//  4. The result is decided once a quorum accepts it. Otherwise [Proposer.Propose] retries with a higher number, a bounded
//     number of times.
//
// # Invariants
//
//   - A proposal number is used by one proposal only, and an acceptor accepts at most one value under it.
//   - An acceptor's state is durable before its response is sent.
//   - Each decided record is derived from the one decided before it: a quorum of both records has responded.
//   - A record that changed the voters is decided before another record replaces it ([Record].Previous is empty or confirmed).
//   - An acceptor whose disk was lost never votes again under its identity; see [QuorumWithLostDisks].
//
// TestNoInterleavingDecidesTwoHistories checks them for every interleaving of two proposers up to a number of steps.
//
// # Errors
//
// [Proposer.Propose] and [Proposer.Bootstrap] return codes.Timeout when the context ended first and codes.Unavailable when no
// quorum was reached. Test for both with errors.Is. After either error, the change may still take effect later. An error from
// storing the round limit is returned unchanged.
//
// # Concurrency
//
// The package reads no clock and does no I/O of its own. Only [Proposer.Propose] and [Proposer.Bootstrap], which run a proposal
// over a [Transport], start goroutines. A [Proposal] and an [Acceptor] have a single owner and are not safe for concurrent use.
// A [RoundAllocator] is safe for concurrent use.
package consensus
