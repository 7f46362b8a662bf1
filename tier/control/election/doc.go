// Package election decides which control process is the primary and which processes are the members of the control group.
//
// # Responsibilities
//
// The membership record (epoch, primary, in-sync set, members) is the value of a register that the acceptors of the members store. An
// Elector is the part of one process: its acceptor on disk, its proposals, and the newest record that it has received. Failover decides
// when the process tries to become primary and how the first record of a cluster is decided (bootstrap.go). The functions in transfer.go
// move the primary role away from a process that is about to stop or whose disk is degraded. LeaseStatus tells what the process may
// answer at a given time.
//
// # Invariants
//
//   - An acceptor answers only after its vote is durable, and never votes below a proposal number that it has promised.
//   - A proposal number is never used twice, even after a restart: rounds.go stores a limit on disk that no used round exceeds.
//   - A record that this process knows of, decided or not, only determines which processes it calls and which epoch it suspects. Each
//     change is applied to the record that a quorum returns.
//   - Records of another cluster are neither learned nor voted for.
//   - A process that can't win an election doesn't disturb the primary: it asks for pre-votes first, and a voter grants none if a
//     majority confirmed the primary recently (package lease has the bounds).
//
// # Limits
//
// The package doesn't choose members or replicas: package reconcile does and changes the record through Adjust. It doesn't access the
// replicated state.
//
// # Sources
//
// The register is Paxos over a changing membership (Lamport, "Paxos made simple", 2001; Lamport, Malkhi and Zhou, "Vertical Paxos and
// primary-backup replication", 2009). Asking for pre-votes before a proposal is the PreVote of Raft (Ongaro, 2014, section 9.6).
//
// # Sequence of a takeover
//
// Failover.Watch finds that the primary has been silent for longer than the election timeout. The process asks all voters for a pre-vote
// (KindPreVote), finds out which disks are lost (KindLocate), and proposes itself: it sends KindPrepare to the acceptors, derives the
// record of the next epoch from the record that they return, and sends it with KindAccept. When a quorum has accepted the record,
// assumePrimary passes it to the replica.
package election
