// Package outlier detects hosts that fail significantly more often than their peers, from the observations of all gateways. A single
// gateway uses a given host too rarely for its own record of that host to be current. The sum over the fleet is current.
//
// # Sources
//
// The algorithm is outlier detection with ejection as in Envoy: a base ejection time that doubles up to a maximum, a maximum share of
// ejected hosts, and a comparison with the hosts of the same service. It differs in two points: the decision is made once for the
// fleet and not by each proxy, and it uses a decaying count of failures instead of consecutive errors.
//
// # Path of a failure
//
// A gateway's [Collector] counts the failure and flushes a [Window] soon after the first failure. The agent sends the window to the
// primary of control. The primary's [Detector] adds the window and decides on an [Ejection], which control commits and the feed
// distributes.
//
// # Invariants
//
//   - A window counts at most once, regardless of when and how often it arrives.
//   - A host is ejected only if at least two reporters saw it fail. Reports of a gateway that sees most of its hosts fail are ignored.
//     Reports from a single zone about a host of another zone count only if the host is an outlier among the hosts of its own zone.
//   - At most maxEjectedShare of a service's hosts is ejected at the same time. At least one host may be ejected, but never the last.
//   - An ejection ends by itself. Failures from before the ejection do not count afterwards.
//   - Memory is bounded: a window names at most [MaxHosts] hosts, and the detector keeps state only for reporters and hosts of the
//     fleet.
//
// # Limits
//
// The package is pure: the caller passes in times in milliseconds. A [Collector] and a [Detector] are not safe for concurrent use.
package outlier
