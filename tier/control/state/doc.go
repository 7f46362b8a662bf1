// Package state is the replicated state machine of control: the operator's configuration, the hosts and store machines that
// exist, who holds which shard, which hosts are ejected, and which machines are being retired.
//
// # What it owns
//
// A State is folded from a log of commands into a feed.View, from which it is also served to subscribers, saved and restored. Each
// command is a type of its own in commands.go, with one encoding and one decoding. What a command may change and what it answers is
// in the file named after its subject: config.go, hosts.go, shards.go, retirement.go, ejection.go.
//
// # Invariants
//
//   - The state is a function of the log alone. Nothing here reads a clock, draws a random number or depends on the order of a map;
//     what is forgotten, too, is decided by indices of the log.
//   - Two replicas that applied the same commands write the same Snapshot, to the byte, also if one was restored in between.
//   - The version of the configuration only rises. An order is answered the same way however often it is sent (package configlog).
//   - A host that deregistered is not listed again, whatever heartbeats of its arrive late.
//   - A shard changes only from the epoch that the change builds on.
//   - Everything that is remembered is bounded: departed hosts, retirements, answered orders.
//
// # What it must not do
//
// It calls nobody, waits for nothing and knows neither leases nor sessions. Whether a process may propose a command or answer a
// caller is decided in the packages around it.
//
// The scheme is that of state machine replication (Schneider, "Implementing fault-tolerant services using the state machine
// approach", 1990); the replication itself is package replica.
//
// # The life of a command
//
// A caller encodes a command and has package multigroup replicate it. Once it is committed, each replica calls Apply with the
// command's index, which decodes it and calls its apply under the state's lock. The Result goes back to the proposer, which passes
// it through Settled before anybody is answered: only a committed command may refuse.
package state
