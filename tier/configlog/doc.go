// Package configlog accepts or rejects changes of the operator's configuration: at most one change is accepted on top of each
// version, and a repeated change always gets its first result. It is part of the replicated state of control, so that every member
// that leads knows the results.
//
// # Source
//
// A change is an optimistic compare-and-set on its base version, like If-Match in HTTP (RFC 9110, section 13.1.1) or resourceVersion
// in Kubernetes. Repeated requests get their first result by the duplicate detection of replicated state machines (Ongaro, Raft,
// 2014, section 6.3), keyed by the version and the hash of the body instead of a session. Old results are compacted, like revisions
// in etcd.
//
// # Life cycle of a change
//
// The API parses and validates the configuration, the primary commits it as a command, and each replica that applies the command
// calls [Log.Decide] with the current version. If the change is accepted, the replica makes it the current configuration, and the
// feed distributes it.
//
// # Invariants
//
//   - A result never changes from rejected to accepted or from accepted to rejected. It may become codes.ConfigForgotten.
//   - At most one change is accepted on top of each version, and accepted versions increase.
//   - The log is deterministic and bounded: at most maxAccepted and maxRejected entries, in memory and in a snapshot.
//
// # Limits
//
// The package has no side effects. It neither parses nor distributes configurations. A [Log] is not safe for concurrent use and is
// owned by the state machine.
package configlog
