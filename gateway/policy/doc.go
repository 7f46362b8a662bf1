// Package policy decides what an API gateway does with each invocation: whether it is admitted, to which host and when it
// is sent, whether it is sent again, and which final answer its client gets. The same code decides in the gateway on
// sockets, behind the simulator's line protocol and in the simulations.
//
// # Life of an invocation
//
// Accept takes it in. While Next names an invocation, Decide says what to do with it now: send it to a host, answer it, or
// nothing yet. ConfirmSend asks once more as an attempt that waited for its connection is about to leave. AttemptEnded takes
// an attempt's outcome and decides whether another one follows. Abandon ends an invocation whose client has gone. Beside
// that, UpdateHosts, CounterReplied, CounterCallLost and PeerMessage bring in what was heard, and Tick and
// RefreshMembership that time has passed; TickDelay and MembershipDelay tell how long until they must be called again. What
// belongs to no single invocation leaves through Output.
//
// # Mechanisms
//
// The ordinary path is the design's: the estimated units are added to the customer's count on the counter service, the
// invocation is throttled if the total passes the quota (the estimate is taken off again), and the true cost is settled
// afterwards. Beside it stand six mechanisms:
//
//  1. Quota ledger: what this instance has not reported to the counter yet; a silent, crowded or forgetful counter is
//     bridged by local shares (quota.go, counter.go, localshare.go, ceiling.go).
//  2. Concurrency quota: open slots of a customer ride in the same count as its units (quota.go).
//  3. Queue and concurrency limits: work waits here, and a host gets the next invocation when it has a free slot
//     (queue.go, concurrency.go, routing.go).
//  4. Health by silence: a host that is unusually silent is ejected, within what package overload allows; it is readmitted
//     by a peer's word or by a probe (health.go, peers.go).
//  5. Slow start: this instance's part of what a host that has just started may be sent (slowstart.go).
//  6. Retries: by the operation's effect, the time left, free slots and overload's budget (retry.go).
//
// # Units and ownership
//
// Clock times and durations are seconds in float64, on one clock that never goes back; units are quota units of a plan. A
// field named ...At is a clock time. The package does no I/O, reads no clock and draws chance from its seed alone, so that
// the same calls give the same decisions. A Gateway and all that belongs to it are owned by one goroutine.
package policy
