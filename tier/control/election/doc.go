// Package election decides which control process is the primary and who the members of the control group are.
//
// # What it owns
//
// The record (epoch, primary, in-sync set, members) is the value of a register that the members' acceptors hold. An Elector is one
// process's part in it: its acceptor on disk, its proposals, and the newest record it has seen. Failover decides when this process
// tries to become primary, Bootstrap how the first record of a cluster comes to be, transfer.go how a primary that is about to stop
// hands its lead over, and LeaseStatus what this process can prove of itself at a moment.
//
// # Invariants
//
//   - An acceptor answers only after its vote is durable, and never votes below a proposal number that it has promised.
//   - Proposal numbers are used once, over restarts too: rounds.go keeps a limit on disk that lies above all that were used.
//   - What is known of a record, decided or not, says whom to ask and which epoch to suspect. Every decision is taken anew on the
//     record that a quorum returns.
//   - Records of another cluster are neither learnt nor voted for.
//   - A process that could not win disturbs nobody: it asks for support first, and a voter that stood behind a primary lately gives
//     none (the bounds are in package lease).
//
// # What it must not do
//
// It doesn't change members or replicas by itself; package reconcile does, through Adjust. It doesn't touch the replicated state.
//
// The register is Paxos over a changing membership (Lamport, "Paxos made simple", 2001; Lamport, Malkhi and Zhou, "Vertical Paxos and
// primary-backup replication", 2009); asking for support before votes is the pre-vote of Raft (Ongaro, 2014, section 9.6).
//
// # The life of a takeover
//
// Failover.Watch finds the primary silent for longer than its lease lasts. It asks all voters for a pre-vote (KindPreVote), looks whose
// disks are lost (KindLocate), and proposes itself: KindPrepare to the acceptors, a new record of the next epoch on what they return,
// KindAccept. When a quorum has accepted, lead has the replica act on the record.
package election
