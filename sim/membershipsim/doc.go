// Package membershipsim simulates the failure detector of gateway/membership alone, without hosts and customers, at sizes and
// durations that full simulations do not reach: hundreds of members with lossy links, crashes, restarts, a partition and members that
// are starved of CPU time. It measures the states that each member's detector reports, and does not influence them.
//
//   - scenario.go: the parameters of a simulation and its results
//   - simulation.go: the members, their crashes and stalls
//   - links.go: the messages between members
//   - measurements.go: the reported states, compared with the actual ones
//
// The same Scenario gives the same Result. Times are in seconds.
package membershipsim
