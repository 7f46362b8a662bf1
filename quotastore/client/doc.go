// Package client decides which requests one gateway sends to the quota store, and interprets the responses. The requests concern
// the gateway's part of each counter, usage that it has admitted and not reported, markers of deliveries that must not run
// twice, and metered usage.
//
// # What it owns
//
// A [Client] is the state of one gateway process. It does no I/O and reads no clock: its caller passes in the time, sends the
// requests that [Client.TakeRequests] returns on a stream to any server of the store, passes in the responses, and reports when
// the stream is lost. A Client is not safe for concurrent use.
//
// # How usage is tracked
//
// For each counter the client holds three amounts, in the counter's units:
//
//   - reported: the total of all reports. A report carries this total rather than the difference, so that a report that arrives
//     twice or late changes nothing (the newest version counts).
//   - reserved: how much of the reported amount stands for work in flight.
//   - unreported: what was admitted and is not reported yet, for example because the counter can't be reached. It is recorded
//     separately from the counter, and the store adds it to the counter if the client's lease expires.
//
// # Leases
//
// The client renews a lease each second under its holder name, which consists of its own name and the number of leases that it
// has lost. If the lease expires while the client is alive, for example after a long partition, the store adds the recorded
// unreported usage to the counters. The client then continues under the next holder name. For each counter it first queries how
// much the counter has under the former holder name, and reports the rest.
//
// # Invariants
//
//   - The same amount is never reported under two holder names.
//   - A request is never sent again with the same ID: each retry is a new request.
//   - Requests are ordered by key, so that equal calls give equal requests.
//   - While requests fail, records and metered usage are sent at increasing intervals, so that the retries of all gateways don't
//     keep the store from recovering. Lease renewals are not delayed.
//   - The client drops a counter 70 s after its last use, and a customer at the end of the epoch in which its usage was metered.
//
// docs/copies.md has the design.
package client
