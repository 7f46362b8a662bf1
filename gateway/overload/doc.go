// Package overload bounds what all API gateways of a fleet do together while hosts do not answer: attempts into an outage,
// health probes, retries, dials. Each gateway holds one [Controller] and decides by what it is told and when: with its
// peers' reports where messages between gateways are allowed, by its own observations and the size of the fleet where not.
//
// The mechanisms, one file each:
//
//   - attempts.go: the attempts without an answer, and the usual answer time
//   - breaker.go: a circuit breaker over all hosts; while it is open the probes of the whole fleet stay within a limit
//   - peerreports.go: what gateways tell each other of an outage of all hosts
//   - hostreports.go: what they tell each other of single hosts, and the probe limit of an ejected one
//   - retrybudget.go: retries as a part of first attempts (Google's SRE book; Finagle)
//   - amplification.go: attempts for each request and dials for each attempt, for the log
//   - backoff.go: pauses between dials, with decorrelated jitter
//   - calllimiter.go: the rate of calls to the quota counter
//
// Times are seconds on the caller's clock. The package does no I/O, reads no clock and draws no random number that its seed
// does not give. A Controller, and each [Backoff] and [CallLimiter], is used by one goroutine at a time.
//
// docs/storms.md gives the reasons, the bound on the sum of all gateways, and the measurements.
package overload
