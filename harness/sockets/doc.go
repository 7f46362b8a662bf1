// Package sockets plays a scenario in real time on loopback. The models of hosts, counter and discovery answer behind listeners that speak
// the platform's protocols, api gateways run as processes, and clients send requests in an open loop. The package must never listen on,
// or call, an address that isn't on this machine.
package sockets
