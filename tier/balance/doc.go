// Package balance chooses the host of a service that a request is sent to.
//
// It is pure: its inputs are the requests of this gateway, the load reported by hosts and the outcomes of requests, and its output
// is the chosen host. The caller passes in the time and a source of randomness, so that a choice can be reproduced. The package
// does no locking: the owner of a Host serializes the calls.
//
// # Compared with gateway/policy
//
// Both packages choose the host with the lowest cost, but by different rules, so they share no code. The hosts of gateway/policy
// report no load, so it learns the latency and a concurrency limit of each host, ejects hosts by its own record of their silence,
// and multiplies the cost by a random factor. Here hosts report their load, tier/outlier decides ejections for the whole fleet, and
// a prefix cache makes one host cheaper than its peers. Both back off exponentially from a host that failed: from 40 ms to 1 s in
// gateway/policy, from 300 ms to 5 s here.
package balance
