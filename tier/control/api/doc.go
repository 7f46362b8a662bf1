// Package api is the HTTP interface of control, for operators and for the hosts of their services.
//
// # What it owns
//
// The routes, what a request must look like, and the one table from result codes to HTTP status (status.go). A handler decodes the
// request, asks whether an answer can be expected at all, calls the Backend and encodes what came of it.
//
// # Invariants
//
//   - A 4xx for an operator's change comes from a commit, or from the request itself. Whatever a process can't know is a 503, after
//     which the operator sends the same order again.
//   - A heartbeat is acknowledged only by a process that has a lease.
//
// # What it must not do
//
// It decides nothing about the state and keeps none.
//
// # The life of a configuration change
//
// replaceConfig (config.go) reads body and base version and checks the body; Backend.Submit has the command replicated; package state
// checks the version (state/config.go) and answers OK, ConfigBase or ConfigInvalid; that code becomes the status here. Distribution to
// the proxies is package feed's.
package api
