// Package fleetload has gateways know what the whole fleet has in flight at each host.
//
// A gateway of a large fleet hears from a given host once in tens of seconds, while a host's load changes within a fraction of one. So
// each gateway reports what it has in flight to the home of its zone, and gets the sum over all gateways back. Homes tell each other
// the sums of their zones.
//
// # The ways weighed
//
//   - Load in the answers of hosts (X-Server-Load) is exact but old: it is still used where nothing better is known.
//   - Asking hosts (GET /v1/report, health checks) costs a request each and is priced as a probe.
//   - Gossip between gateways brings each gateway everything late, or everybody's messages to everybody.
//   - Tickets for free slots (join-idle-queue) bind a slot for the time that a ticket travels, and are lost with a gateway.
//   - One home for all zones would carry 2,700 messages a second at 410 gateways, most of them between zones.
//
// # What it owns
//
// [Aggregator] is the state of a home: the newest report of each gateway and the newest sum of each other home. [Estimator] is that of
// a gateway: its reports on the way, and what the others have in flight. [Homes] orders the store machines, which may be the home of a
// zone, alike for everyone who knows the same machines.
//
// # Invariants
//
//   - A report holds everything that a gateway has in flight, not a change: one that is lost or comes twice changes nothing for good.
//   - Reports that cross on their way are told apart by their numbers; the older one is dropped.
//   - A gateway's own requests are never counted twice: what its home had counted of them is taken off, and what it has now is added.
//   - What is silent for long is dropped: a gateway, a home, and the sums that a gateway has.
//   - Nothing depends on it: without a home, and until a home has heard all gateways once, gateways choose by what they know alone.
//
// # What it must not do
//
// It chooses no host; package balance does, and bounds how many gateways may follow the same number. It has neither clock nor
// connections.
package fleetload
