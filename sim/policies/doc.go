// Package policies makes the policies that a simulation can be run with: that of the gateway itself, and baselines that it is compared
// with. A baseline must never be taken for good: each shows what one idea alone is worth.
//
//   - module, members, damped: the gateway's own policy; without membership, with it, and with overload control as well
//   - random: admits everything and draws a host
//   - share: admits by an even part of each quota, whatever the traffic
//   - design: admits by one call to the counter for each invocation, by customer and window
//   - omniscient: admits by what was really sent, and picks the host that is really free first
package policies
