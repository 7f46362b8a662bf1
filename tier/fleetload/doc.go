// Package fleetload gives each gateway the number of requests that the whole fleet has in flight at each host.
//
// In a large fleet a gateway receives a response from a given host only once in tens of seconds, while the load of a host changes
// within a fraction of a second. So each gateway reports its requests in flight to the home of its zone, a store machine that
// aggregates them, and receives the totals over all gateways. Homes send each other the totals of their zones.
//
// # Alternatives considered
//
//   - The load in host responses (X-Server-Load) is exact but old. It is still used where nothing better is known.
//   - Polling hosts (GET /v1/report, health checks) costs one request per poll and is priced as a probe.
//   - Gossip between gateways either delivers information late or sends every message to every gateway.
//   - Tickets for free slots (join-idle-queue) reserve a slot while the ticket is in transit, and are lost if a gateway fails.
//   - A single home for all zones would handle 2,700 messages per second at 410 gateways, most of them between zones.
//
// # State
//
// [Aggregator] is the state of a home: the newest report of each gateway and the newest zone total of each other home. [Estimator]
// is the state of a gateway: the reports that it sent recently, from which it derives what the other gateways have in flight.
// [Homes] lists the store machines that may be the home of a zone, in the same order for every process that knows the same machines.
//
// # Invariants
//
//   - A report contains all requests that a gateway has in flight, not a difference, so a lost or duplicated report causes no lasting
//     error.
//   - Reports are numbered, so that one overtaken by a newer one is recognized and dropped.
//   - A gateway's own requests are never counted twice: the gateway subtracts its requests that the home counted and adds its present
//     ones.
//   - State is dropped when its source has been silent for too long: the reports of a gateway, the zone total of a home, and the
//     totals held by a gateway.
//   - The exchange is optional: without a home, and until a home has received reports from all gateways, each gateway chooses hosts
//     by its own observations.
//
// # Non-goals
//
// The package chooses no host. Package balance does, and limits how many gateways act on the same number. This package has no clock
// and no connections.
package fleetload
