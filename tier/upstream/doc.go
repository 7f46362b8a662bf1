// Package upstream sends requests to hosts over a pool of its own connections.
//
// Unlike the transport of net/http it never retries by itself, and it tells whether any byte of a request may have reached the
// host. A connection has one owner at a time, which holds a Lease; the lease's exchange tells how far the request has come, and what
// may follow is decided in otterseam/tier/attempt.
package upstream
