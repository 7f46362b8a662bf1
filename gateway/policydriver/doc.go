// Package policydriver holds the order in which a policy.Gateway is called, so that the gateway on sockets, the adapter of the
// line protocol and the simulations call it in the same way. It opens no socket, reads no clock and decides nothing.
//
// Whoever carries out decisions itself calls DecideAll and keeps a Timer for each of the policy's two rhythms. A Driver does
// this for whoever knows invocations by reference alone. Times are seconds, as in package policy. Neither is safe for
// concurrent use.
package policydriver
