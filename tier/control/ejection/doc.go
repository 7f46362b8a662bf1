// Package ejection decides which hosts are temporarily excluded from traffic, and when each exclusion ends.
//
// # Responsibilities
//
// An Ejector holds the primary's outlier detector (package outlier: which host fails while its peers don't) and the times at which the
// current ejections end. It owns no replicated state: the ejection of a host is a command of package state.
//
// # Invariants
//
//   - Every ejection ends, under the primary that decided it or under a later one. A new primary reads the durations of the current
//     ejections from the replicated state and measures them from the time at which it became primary.
//   - Decide returns each ejection that has ended once.
//
// # Limits
//
// The package proposes nothing, does not block and reads no clock.
//
// The method is the outlier detection of Envoy, which ejects hosts from load balancing.
//
// # Processing of a report
//
// A gateway's window of observations reaches the primary, which calls Observe. The reconciler calls Decide periodically, which returns
// the new ejections and those that have ended. The reconciler proposes EjectHost and ReinstateHost for them.
package ejection
