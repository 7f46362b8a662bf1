// Package ejection decides which hosts the fleet keeps traffic away from for a while, and when that ends.
//
// # What it owns
//
// An Ejector holds the outlier detector of the primary (package outlier: which host fails where its peers don't) and the times at
// which the terms in force end. It owns no replicated state: that a host is ejected is a command of package state.
//
// # Invariants
//
//   - Every ejection ends, under the primary that decided it or under a later one, which finds its term in the replicated state and
//     counts the term from when it began to lead.
//   - Decide names a host whose term has ended once.
//
// # What it must not do
//
// It proposes nothing, waits for nothing and reads no clock.
//
// The method is the outlier ejection of Envoy's upstream health checking.
//
// # The life of a report
//
// A gateway's window of observations reaches the primary, which calls Observe. At the next look of the reconciler, Decide returns the
// ejections and the ended terms, and the reconciler proposes EjectHost and ReinstateHost for them.
package ejection
