// Package hangdetect decides for how long a request waits for the first byte of its response before it is taken for hung, so that
// it can be retried while there is time.
//
// It is pure, and has no figure of a service: what is usual is learned from the latencies observed, as retransmission timers learn
// round-trip times (RFC 6298).
//
// # Compared with gateway/policy
//
// The gateway judges a host by the silence of all attempts there and then ejects it; here a single request is judged, by the
// latencies of its route, and times out. Its retries are bounded for the fleet by gateway/overload, these by a budget in the
// estimator. Nothing is shared.
package hangdetect
