// Package simprotocol parses and writes the line protocol of the simulator: one JSON value a line, messages as arrays that
// begin with their name. Its document gives the names and the order of their values (WIRE); the types here carry the terms of
// this project.
//
//   - batch.go: a line in, what happened to some gateways at one moment
//   - messages.go: the messages of a batch
//   - reply.go: a line out, what those gateways do
//   - settings.go: the start settings, which the configuration of a gateway on sockets carries too, and the policy made of them
//
// Times are seconds. The package decides nothing.
package simprotocol
