// Package proposal has commands carried out by the primary of control, whichever process that is.
//
// # What it owns
//
// Nothing but the way: a Proposer proposes to the replica of this process if it leads, and else calls the primary.
//
// # Invariants
//
//   - A caller is told a refusal only if a commit gave it (state.Settled). Everything else is an error, after which nothing is known.
//   - A command that this process has proposed is not sent to another one. Only codes.NotPrimary says that it was not proposed.
//
// # What it must not do
//
// It does not repeat commands; callers do, since all commands may be repeated.
//
// # The life of a command
//
// Submit proposes the command here. If this process does not lead, the command goes to the primary (controlclient.KindSubmit), which
// calls ProposeEncoded. multigroup replicates it to the in-sync set, package state applies it, and the result comes back the same way.
package proposal
