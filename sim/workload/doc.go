// Package workload models customers and their clients: which requests they make, when and through which api gateway, and how a client
// reacts to an answer. It must not depend on hosts, the counter or the decisions of api gateways.
package workload
