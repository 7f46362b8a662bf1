// Package fleet plays scripts of faults: api gateway processes, members of the quota store, stand-ins for hosts, counter and discovery, and
// the links between all of them, on loopback. Faults come at a time or on an event; the oracle and the script's promises judge what
// follows. The package must never inject a fault into what it has not started, nor leave a process behind.
package fleet
