// Package proposal executes commands on the primary of control, whether or not it is this process.
//
// # Responsibilities
//
// A Proposer submits a command to the replica of this process if it is the primary, and otherwise calls the primary. It has no state of
// its own.
//
// # Invariants
//
//   - A caller gets a rejection only if a committed command returned it (state.Settled). Any other failure is an error, after which the
//     outcome is unknown.
//   - A command that this process may have proposed is not sent to another one. Only codes.NotPrimary means that it was not proposed.
//
// # Limits
//
// The package does not repeat commands. Callers may do so, since all commands are idempotent.
//
// # Processing of a command
//
// Submit proposes the command to the local replica. If this process is not the primary, Submit calls the primary
// (controlclient.KindSubmit), which calls ProposeEncoded. Package multigroup replicates the command to the in-sync set, package state
// applies it, and the result is returned along the same path.
package proposal
