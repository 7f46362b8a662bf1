// Package overload bounds the load that all API gateways of a fleet generate together while hosts do not answer: attempts
// during an outage, health probes, retries and dials. Each gateway holds one [Controller]. Where messages between gateways
// are enabled, it decides by its own observations and its peers' reports; otherwise by its own observations and the size
// of the fleet.
//
// The mechanisms, one file each:
//
//   - attempts.go: unanswered attempts and the mean latency of answers
//   - breaker.go: a circuit breaker over all hosts; while it is open, the probe rate of the whole fleet is limited
//   - peerreports.go: the reports that gateways exchange about an outage of all hosts
//   - hostreports.go: the reports that they exchange about single hosts, and the probe rate of an ejected host
//   - retrybudget.go: retries as a fraction of first attempts (Google's SRE book; Finagle)
//   - amplification.go: attempts per request and dials per attempt, for the log
//   - backoff.go: delays between dials, with decorrelated jitter
//   - calllimiter.go: the rate of calls to the quota counter
//
// Times are seconds on the caller's clock. The package does no I/O, reads no clock and derives all random numbers from its
// seed. A Controller, and each [Backoff] and [CallLimiter], must be used by one goroutine at a time.
//
// docs/storms.md has the reasons, the bound on the load of all gateways together, and the measurements.
package overload
