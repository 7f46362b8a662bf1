// Package gatewaymodel models the machine of one api gateway: its share of a core, its connections to hosts, its calls to the
// counter, and its pending invocations. A Policy makes all decisions; the model must never make any itself.
package gatewaymodel
