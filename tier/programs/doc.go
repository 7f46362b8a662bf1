// Package programs implements the replicated state machine of a shard of agent programs. For each program it keeps one token count,
// which all gateways charge, and the retained turns that later turns can continue.
//
// # Life cycle of a turn
//
// A gateway sends Begin before it sends a turn to a host. Begin reserves the estimate from the program's budget, and its result
// contains the chain of turns that the new turn continues. When the turn has ended, the gateway sends End, which releases the
// reservation, charges the tokens that the client received, and retains the turn if its route requires that. Fetch reads a chain
// and changes nothing. The primary of the shard stamps each command with its wall-clock time and replicates it; State.Apply
// executes it on every replica, in log order.
//
// # Invariants
//
//   - Settled and reserved tokens together never exceed the budget that the Begin commands of these turns carried.
//   - A Begin or an End takes effect once, however often and however late it is repeated. A repeat is recognized by its request ID
//     while the turn is open or among the newest settled turns, and by its Ticket at any time after that.
//   - A retained turn is kept as long as the newest turn of its chain. An open turn does not prolong the retention of its chain: the
//     result of its Begin tells the ChainTTL, and a gateway stores a turn that may take longer with the texts of its chain. The state
//     thus depends on no turn that may never end, and replicas of all versions execute a command alike.
//   - The state of each program is bounded: open turns by time; settled turns, sessions and watermarks by number.
//
// # Constraints
//
// The package reads no clock, generates no random numbers and does no I/O, so that replicas that apply the same commands have the
// same state and byte-identical snapshots. Times are those that commands carry, in milliseconds of the wall clock of the primary
// that accepted them. Between two primaries they may step back by the skew of the machines' clocks.
package programs
