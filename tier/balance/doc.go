// Package balance chooses the host of a service that a request is sent to.
//
// It is pure: the requests of this gateway, the load that hosts report and the outcomes of requests go in, the chosen host comes
// out. Times are passed in, and randomness comes from the caller, so that a choice can be repeated. Nothing here locks; the owner
// of a Host serialises the calls.
//
// # Compared with gateway/policy
//
// Both choose the host of the lowest cost, but by other rules, so nothing is shared: the gateway's hosts report no load, so it learns
// latencies and a limit of attempts in flight for each host, ejects by its own record of silence, and draws its cost at random; here
// hosts report their load, ejections are decided for the whole fleet by tier/outlier, and a prefix cache makes one host better than
// its peers. Both back off exponentially from a host that failed, from 40 ms to 1 s there and from 300 ms to 5 s here.
package balance
