// Package upstream sends requests to hosts over a pool of its own connections.
//
// Unlike the transport of net/http it never retries a request, and it reports whether any byte of a request may have reached the
// host. A connection has one owner at a time, which holds a Lease. The lease's exchange records the progress of the request. Package
// otterseam/tier/attempt decides how to handle each response and whether the connection can be reused.
package upstream
