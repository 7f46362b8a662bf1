// Package workload models customers and their clients: who asks for what, when and through which api gateway, and what a client
// does with its answer. It must never know hosts, the counter or what an api gateway decides.
package workload
