// Package attempt contains the rules for one attempt of a request at a host (Exchange) and for all attempts of a request (Attempts).
// They decide whether a response belongs to the request, whether a connection may be reused, and whether a request can be retried
// without the risk that it runs twice.
//
// It is pure: its inputs are the events of a connection, its outputs the permitted next steps. The callers handle sockets, clocks and
// headers.
//
// # Compared with gateway/policy
//
// The operations of gateway/policy are declared idempotent, deduplicated within a window and scope, or neither, and gateway/policy
// may retry where the host recognizes a repeat. Here a retry depends only on the kind of route and on the host's proof that it did
// not run the request, and a stream can be resumed. The packages share no code.
package attempt
