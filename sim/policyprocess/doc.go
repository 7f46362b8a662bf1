// Package policyprocess runs the policies of a simulation's api gateways in a child process that speaks the simulator's line protocol
// (gateway/simprotocol), such as an earlier build of cmd/wirehost. It must not correct the program's output: an invalid reply ends the
// run.
package policyprocess
