// Package configlog decides the changes of the operator's configuration: one change is accepted on each version, and the same change
// always gets the result that it got first. It is part of the replicated state of control, so that every member that leads knows
// the results.
//
// # Source
//
// A change is an optimistic compare-and-set on the version it builds on, as If-Match of HTTP (RFC 9110, section 13.1.1) or
// resourceVersion of Kubernetes; that a repeated request gets its first result is the duplicate detection of replicated state
// machines (Ongaro, Raft, 2014, section 6.3), keyed by version and hash of the body in place of a session. Old results are
// compacted, as revisions in etcd.
//
// # The life of one change
//
// The API reads and validates the configuration, the primary commits it as a command, and each replica that applies the command
// calls [Log.Decide] with the version in force. If it is accepted the replica puts it in force, and the feed distributes it.
//
// # Invariants
//
//   - A result never turns from rejected into accepted, or from accepted into rejected; it may become codes.ConfigForgotten.
//   - At most one change is accepted on each version, and accepted versions rise.
//   - The log is deterministic and bounded: at most maxAccepted and maxRejected entries, in memory and in a snapshot.
//
// # Limits
//
// The package is pure. It neither parses nor distributes configurations, and a [Log] has one owner, the state machine.
package configlog
