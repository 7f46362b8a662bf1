// Package sockets runs a scenario in real time on loopback. The models of hosts, counter and discovery serve the platform's protocols on
// sockets, api gateways run as processes, and clients send requests in an open loop. The package must never listen on, or connect to, an
// address that isn't on this machine.
package sockets
