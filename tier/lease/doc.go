// Package lease implements the lease and session rules of control: for how long a control process may respond on the strength of its
// last proof of contact, when a primary steps down, when a backup may try to replace it, when a voter grants its vote, and when the
// session of a host or store expires.
//
// # Sources
//
// The primary's lease is that of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989), renewed by a majority like the leader lease of Raft (Ongaro, 2014, section 6.4.1). The vote request that
// precedes any new proposal number is Raft's PreVote (section 9.6), including the rule that a voter in contact with a leader grants
// no vote. Sessions follow Chubby (Burrows, 2006): the process that receives a client's heartbeats keeps its session and reports it
// to the primary, and the extra time that a new primary grants to all sessions is Chubby's grace period.
//
// # Units
//
// Times are milliseconds of the process's own monotonic clock, passed in by the caller. Times of two processes are never compared: a
// lease starts when its holder sends the probe that renews it, so that it ends at the holder before it ends at the other processes.
//
// # Invariants
//
//   - A lease ends before its holder steps down, and no voter grants a vote against a primary that a majority confirmed recently:
//     [LeaderStickiness] < [ElectionTimeout] < [TTL] < [StepDownAfter].
//   - A session whose heartbeat was acknowledged under a lease survives a change of primary: the next primary expires it only after
//     the longest time that the client can need to reach the new primary (the inequalities at [HostGrace] and
//     [StoreFirstTimeout]).
//   - Without a lease no process responds on behalf of the group, and each kind of response has a [Basis].
//
// The tests of timeouts.go check the inequalities. Run them after changing a timeout.
//
// # Errors
//
// [Status.MayDecide] and [Status.MayForward] return codes.NotPrimary or codes.Unavailable, which callers test with errors.Is.
//
// # Limits
//
// The package does no I/O, reads no clock and starts no goroutine. [HostSessions] and [StoreSessions] are not safe for concurrent
// use: their owner must synchronize access.
package lease
