// Package policy decides what an API gateway does with each invocation: whether it is admitted, when and to which host it
// is sent, whether it is retried, and which final answer its client gets. The same code decides in the gateway on sockets,
// behind the simulator's line protocol and in the simulations.
//
// # Life of an invocation
//
// Accept registers a new invocation. While Next returns an invocation, Decide returns what to do with it now: send it to a
// host, give its final answer, or nothing yet. ConfirmSend checks an attempt again that has waited for its connection, before
// it is sent. AttemptEnded processes an attempt's outcome and decides whether the invocation is retried. Abandon ends an
// invocation whose client has disconnected.
//
// UpdateHosts, CounterReplied, CounterCallLost and PeerMessage process external events. Tick and RefreshMembership process
// the passing of time, and TickDelay and MembershipDelay return when they must be called again. Actions that belong to no
// single invocation are carried out by Output.
//
// # Mechanisms
//
// On the usual path the estimated units are added to the customer's count on the counter service. If the total exceeds the
// quota the invocation is throttled and the estimate is subtracted again. Otherwise the actual units are settled after the
// invocation has ended. Six mechanisms complement this:
//
//  1. Quota ledger: the units that this instance has not reported to the counter yet. While the counter is silent, overloaded
//     or has lost its counts, local shares of the quotas stand in for it (quota.go, counter.go, localshare.go, ceiling.go).
//  2. Concurrency quota: a customer's open slots are kept in the same count as its units (quota.go).
//  3. Queue and concurrency limits: invocations wait in this gateway, and a host gets the next one when it has a free slot
//     (queue.go, concurrency.go, routing.go).
//  4. Host health: a host that is unusually silent is ejected, within the bounds of package overload. It is readmitted by a
//     peer's report or by a probe (health.go, peers.go).
//  5. Slow start: this instance's share of the load that a recently started host may get (slowstart.go).
//  6. Retries: allowed by the operation's effect, the time left, free slots and overload's retry budget (retry.go).
//
// # Units and ownership
//
// Clock times and durations are seconds in float64, on one monotonic clock. Units are quota units of a plan. A field named
// ...At is a clock time. The package does no I/O, reads no clock and derives all random numbers from its seed, so that the
// same calls give the same decisions. A Gateway and all that belongs to it must be used by one goroutine only.
package policy
