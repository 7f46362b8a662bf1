// Package hangdetect decides for how long a request waits for the first byte of its response before it is taken for hung, so that
// it can be retried while there is time.
//
// It is pure, and has no figure of a service: what is usual is learned from the latencies observed, as retransmission timers learn
// round-trip times (RFC 6298).
package hangdetect
