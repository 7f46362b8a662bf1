// Package policyprocess lets a program that speaks the simulator's line protocol (gateway/simprotocol), such as an earlier build of
// cmd/wirehost, decide for the api gateways of a simulation. It must never repair what the program says: nonsense ends the run.
package policyprocess
