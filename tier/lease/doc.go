// Package lease decides what a control process may answer for: for how long its proof of contact carries an answer, when a primary
// steps down, when a backup may try to replace it, when a voter helps, and when the session of a host or store has expired.
//
// # Sources
//
// The primary's lease is that of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989), renewed by a majority as the leader lease of Raft (Ongaro, 2014, section 6.4.1). A request for votes before
// any proposal number is raised is Raft's PreVote (section 9.6), together with its rule that a voter that hears a leader helps
// nobody. Sessions kept by whichever process heard the client and reported to the primary follow Chubby (Burrows, 2006); the time
// that a new primary grants to all of them is Chubby's grace period.
//
// # Units
//
// Times are milliseconds of the process's own monotonic clock, handed in by the caller. Times of two processes are never compared:
// a lease is counted from the start of the question that renewed it, so that it ends at the holder before it ends elsewhere.
//
// # Invariants
//
//   - A lease ends before its holder steps down, and no voter helps to replace a primary that it has just heard of:
//     [LeaderStickiness] < [ElectionTimeout] < [TTL] < [StepDownAfter].
//   - Whoever acknowledged a heartbeat under a lease can rely on the next primary: it expires the session only after the client,
//     however unlucky with the processes it calls, has reached it (the inequalities of [HostGrace] and [StoreFirstTimeout]).
//   - Without a lease no process answers for the group, and each kind of answer has a [Basis].
//
// The tests of timeouts.go check the inequalities; whoever changes a bound runs them.
//
// # Errors
//
// [Status.MayDecide] and [Status.MayForward] return codes.NotPrimary or codes.Unavailable, to be tested with errors.Is.
//
// # Limits
//
// The package is pure and starts no goroutine. [HostSessions] and [StoreSessions] have one owner, who guards them.
package lease
