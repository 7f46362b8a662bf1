// Package hangdetect decides how long a request waits for the first byte of its response before it is considered hung, so that it can
// be retried in the remaining time.
//
// It is pure and has no parameters specific to a service: it estimates the usual latency from observed latencies, as retransmission
// timers estimate round-trip times (RFC 6298).
//
// # Compared with gateway/policy
//
// gateway/policy judges a host by the silence of all attempts at it, and ejects the host. This package judges a single request by the
// latencies of its route, and the request times out. The retries of gateway/policy are limited for the whole fleet by
// gateway/overload, these by a budget in the estimator. The packages share no code.
package hangdetect
