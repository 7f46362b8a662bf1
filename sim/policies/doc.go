// Package policies provides the policies that a simulation can run: the gateway's own, and baselines for comparison. A baseline is not
// meant for production; each one measures the effect of a single idea.
//
//   - module, members, damped: the gateway's own policy, without membership, with it, and with overload control as well
//   - random: admits everything and chooses a host at random
//   - share: gives each gateway an even share of a customer's quota, regardless of the traffic
//   - design: calls the counter once for each invocation and admits by customer and quota window
//   - omniscient: admits by the actual use of the quota and chooses the host that is actually free first
package policies
