// Package membershipsim runs the failure detector of gateway/membership alone, without hosts and customers, at sizes and for times
// that simulated days do not reach: hundreds of members with lossy links, deaths, returns, a partition and starved members. It
// measures what each member believed and decides nothing for it.
//
//   - scenario.go: what is simulated, and what was measured
//   - simulation.go: the members, their deaths and stalls
//   - links.go: messages between them
//   - beliefs.go: what they believe, compared with what is so
//
// The same Scenario gives the same Result. Times are seconds.
package membershipsim
