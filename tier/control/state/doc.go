// Package state implements the replicated state machine of control. It holds the operator's configuration, the registered hosts and
// store machines, the placement of shards, the ejected hosts, and the machines that are being retired.
//
// # Responsibilities
//
// A State is the result of applying a log of commands to a feed.View. It is served to subscribers, saved and restored from that view.
// Each command is a type of its own in commands.go, with one encoding and one decoding. What a command changes and returns is in the
// file named after its subject: config.go, hosts.go, shards.go, retirement.go, ejection.go.
//
// # Invariants
//
//   - The state is a function of the log alone. Nothing here reads a clock, draws a random number or depends on the iteration order
//     of a map. Which entries are removed to bound the state is also decided by log indices.
//   - Two replicas that applied the same commands write byte-identical Snapshots, even if one was restored in between.
//   - The version of the configuration only increases. A repeated change always gets the same result (package configlog).
//   - A host that deregistered is not listed again, whichever of its heartbeats arrive late.
//   - A shard changes only if its epoch is the one that the change is based on.
//   - All retained history is bounded: IDs of deregistered hosts, retirements, and results of configuration changes.
//
// # Limits
//
// The package makes no calls, does not block, and has no access to leases or sessions. The packages around it decide whether a process
// may propose a command or respond to a caller.
//
// The design is state machine replication (Schneider, "Implementing fault-tolerant services using the state machine approach", 1990).
// The replication itself is in package replica.
//
// # Processing of a command
//
// A caller encodes a command and submits it to package multigroup for replication. Once it is committed, each replica calls Apply with
// the command's index. Apply decodes the command and calls its apply method with the state's lock held. The Result is returned to the
// proposer, which passes it through Settled before it responds, because only a committed command may be rejected.
package state
