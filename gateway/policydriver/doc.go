// Package policydriver defines the order in which the methods of a policy.Gateway are called, so that the gateway on sockets, the
// adapter of the line protocol and the simulations call it in the same way. It opens no socket, reads no clock and makes no
// decisions.
//
// A caller that carries out decisions itself calls DecideAll and keeps one Timer for Tick and one for RefreshMembership. A Driver
// does this for callers that identify invocations by reference. Times are seconds, as in package policy. The types are not safe
// for concurrent use.
package policydriver
