// Package outlier finds hosts that fail where their peers do not, from what all gateways see together. Each gateway meets a given host
// rarely, so that its own record of it is always too old; the sum over the fleet is not.
//
// # Sources
//
// It is outlier detection with ejection as in Envoy (base and maximal ejection time that doubles, maximal share of ejected hosts,
// comparison with the hosts of the same service), decided once for the fleet in place of by each proxy, and by a count that decays
// in place of consecutive errors.
//
// # The life of a failure
//
// A gateway's [Collector] counts it and flushes a [Window] soon after the first failure. The window travels by the agent to the
// primary of control, whose [Detector] adds it and decides on an [Ejection], which control commits and the feed distributes.
//
// # Invariants
//
//   - Each window counts once, whenever and however often it arrives.
//   - A host is ejected only if at least two reporters saw it fail; a gateway that most of its hosts fail is not believed, nor a zone
//     about hosts of another zone, unless these are outliers among their own.
//   - At most maxEjectedShare of a service is ejected at once, one host at least may be, and the last one never is.
//   - An ejection ends by itself; what the host did before does not count against it afterwards.
//   - Memory is bounded: a window names at most [MaxHosts] hosts, the detector remembers the reporters and hosts of the fleet.
//
// # Limits
//
// The package is pure: times in milliseconds are handed in. A [Collector] and a [Detector] have one owner each.
package outlier
