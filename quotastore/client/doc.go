// Package client decides what one gateway asks of the quota store, and what the answers mean: its part of each counter, usage
// that it has admitted and not reported, markers of deliveries that must not run twice, and metered usage.
//
// # What it owns
//
// A [Client] is the state of one process of a gateway. It does no I/O and reads no clock: its caller hands over the time, sends
// the requests that [Client.TakeRequests] returns on a stream to any server of the store, hands over the responses, and says when
// the stream is lost. One goroutine uses it at a time.
//
// # How usage is kept
//
// For each counter the client holds three amounts, in the counter's units:
//
//   - reported: what it has told the counter in all. A report carries this sum rather than what is added, so that one that
//     arrives twice or late changes nothing (the newest version counts).
//   - reserved: how much of the reported amount stands for work in flight.
//   - unreported: what was admitted and is not reported yet, as while the counter can't be reached. It is recorded beside the
//     counter, and added to it by the store if the client's lease expires.
//
// # Leases
//
// The client renews a lease each second under its holder name, which is its own name and the number of leases it has lost. If
// the store says that the lease expired though the client lives, the store adds the recorded unreported usage to the counters.
// The client goes on under the next holder name; for each counter it first asks how much the counter has of it under the
// former one, and reports the rest.
//
// # Invariants
//
//   - The same amount is never reported under two holder names.
//   - A request is never sent again under its ID: what has to be said again is a new request.
//   - Requests are in the order of keys, so that equal calls give equal requests.
//   - While requests fail, records and metered usage are sent less and less often: what all gateways repeat must not keep the
//     store from coming back. Lease renewals go on.
//   - A counter is forgotten 70 s after its last use, a customer with the epoch that its usage was metered in.
//
// docs/copies.md has the design.
package client
