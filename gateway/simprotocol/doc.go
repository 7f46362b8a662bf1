// Package simprotocol parses and writes the line protocol of the simulator. Each line is one JSON value, and each message is an
// array that begins with the message's name. The protocol's document (WIRE) defines the names and the order of the values; the
// types here use the terms of this project instead.
//
//   - batch.go: an input line, with the messages for some gateways at one point in time
//   - messages.go: the messages of a batch
//   - reply.go: an output line, with the commands of those gateways
//   - settings.go: the start settings, which cmd/otterseam also reads from its configuration, and the policy created from them
//
// Times are in seconds. The package makes no policy decisions.
package simprotocol
