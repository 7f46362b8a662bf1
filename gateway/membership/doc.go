// Package membership knows which API gateways of a configured list are alive.
//
// It is a ring failure detector with gossip. Each member sends heartbeats to the next two of the ring that are alive, and so is
// watched by two. One that falls silent is suspected, asked, and at last accused: its incarnation is marked dead, and all are
// told. A member that hears itself called dead refutes it with a newer incarnation. What counts is always the newer incarnation
// number, as in SWIM (Das, Gupta, Motivala, 2002); the local health of Lifeguard (Dadgar, Phillips, Currey, 2017) keeps a
// process that was stopped or cut off from accusing the others.
//
// One concern a file:
//
//   - detector.go: the state of a gateway's view, its clock and its messages in and out
//   - incarnation.go: incarnation numbers and their order
//   - heartbeat.go: heartbeats to the ring, and the part of them that gets lost
//   - suspicion.go: watching the ring, pings, accusations, reconnecting after a partition, and local health
//   - gossip.go: news of members, their spread and refutation
//   - packet.go: the text of messages
//   - share.go: by how many gateways something shared is divided
//   - log.go: lines for the log
//
// Times are seconds on the caller's clock. The package does no I/O, reads no clock and draws no random number that its seed
// does not give. A [Detector] is used by one goroutine at a time.
//
// docs/membership.md gives the alternatives weighed, the bounds and the measurements.
package membership
