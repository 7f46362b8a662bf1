// Package attempt decides about one attempt of a request at a host (Exchange), and about a request over all of its attempts
// (Attempts): when a response is the request's own, when a connection may be reused, and when a retry cannot run a request twice.
//
// It is pure: what happened on a connection goes in, what may follow comes out. Sockets, clocks and headers belong to the callers.
//
// # Compared with gateway/policy
//
// The gateway's operations are declared idempotent, deduplicated within a window and scope, or neither, and it may retry where a
// repeat is recognised; here only the kind of route and the proof of the host count, and a stream can be resumed. Nothing is shared.
package attempt
