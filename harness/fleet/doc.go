// Package fleet runs fault injection scripts against real processes on loopback: api gateways, members of the quota store, stand-ins for
// hosts, counter and discovery, and the links between all of them. A fault begins at a time or on an event. The rules of the oracle and the
// expectations of the script decide the result. The package must never inject a fault into a process that it has not started, nor leave a
// process behind.
package fleet
