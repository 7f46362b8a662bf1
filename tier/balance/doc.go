// Package balance chooses the host of a service that a request is sent to.
//
// It is pure: the requests of this gateway, the load that hosts report and the outcomes of requests go in, the chosen host comes
// out. Times are passed in, and randomness comes from the caller, so that a choice can be repeated. Nothing here locks; the owner
// of a Host serialises the calls.
package balance
