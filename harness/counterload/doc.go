// Package counterload generates open-loop load on servers of the counter protocol: each call is due at a fixed time, whether or
// not earlier calls have received a response, and its latency is measured from that time. The package records the amounts that
// were acknowledged and those that may have been added, and compares the counters' totals with them.
//
// A request of the counter protocol is POST /counters/NAME?by=AMOUNT&expire_ms=LIFE over HTTP/1.1. Responses arrive in the order
// of the requests, with the counter's total as the body.
package counterload
