// Package gatewaymodel models the machine of one api gateway: its share of a core, its connections to hosts, its calls to the
// counter, and the invocations that it holds. What it does is decided by a Policy; it must never decide itself.
package gatewaymodel
