// Package membership detects which API gateways of a configured list are alive.
//
// It is a ring failure detector with gossip. Each member sends heartbeats to its next two live successors in the ring, so that
// two members watch it. A silent member is suspected, pinged and finally accused: its incarnation is marked dead, and all members
// are informed. A member that learns of its own accusation refutes it with a newer incarnation. A newer incarnation number always
// overrides an older one, as in SWIM (Das, Gupta, Motivala, 2002). Local health as in Lifeguard (Dadgar, Phillips, Currey, 2017)
// prevents a process that was paused or isolated from accusing the others.
//
// The files:
//
//   - detector.go: the state of a gateway's view, its ticks, and its incoming and outgoing messages
//   - incarnation.go: incarnation numbers and their order
//   - heartbeat.go: heartbeats along the ring, and their loss rate
//   - suspicion.go: watching the ring, pings, accusations, reconnecting after a partition, and local health
//   - gossip.go: broadcasting updates about members, and refutation
//   - packet.go: the encoding of messages
//   - share.go: the number of gateways by which a shared quantity is divided
//   - log.go: log lines
//
// Times are in seconds on the caller's clock. The package does no I/O, reads no clock, and derives all random numbers from its
// seed. A [Detector] is not safe for concurrent use.
//
// docs/membership.md describes the alternatives considered, the bounds and the measurements.
package membership
