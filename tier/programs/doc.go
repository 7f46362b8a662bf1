// Package programs is the state machine of a shard of agent programs: for each program one count of tokens that all gateways
// charge, and the turns that are retained so that later turns can go on from them.
//
// # The life of one turn
//
// A gateway sends Begin before it sends a turn to a host. The estimate is reserved from the program's budget, and the answer has the
// chain of turns that the new one goes on from. When the turn has ended the gateway sends End: the reservation goes, the tokens
// that the client received are charged, and the turn is retained if its route wants that. Fetch reads a chain and changes nothing.
// The primary of the shard stamps each command with its time of day and has it replicated; State.Apply carries it out on every
// replica, in the order of the log.
//
// # Invariants
//
//   - Settled and reserved tokens together never exceed a budget by which they were begun.
//   - A Begin or an End counts once, however often and late it comes again: by its request while the turn is open or among the
//     newest settled ones, and by its Ticket for ever after.
//   - A retained turn lasts as long as the newest turn of its chain.
//   - What is remembered of a program is bounded: open turns by time, settled turns, sessions and watermarks by number.
//
// # What it must not do
//
// It reads no clock, draws no number and does no I/O: replicas that apply the same commands have the same state and the same
// snapshot, to the byte. Times are those that commands carry, in milliseconds of the day of the primary that took them; between two
// primaries they may step back, by the skew of the machines' clocks.
package programs
