// Package api is the HTTP API of control for operators and for the hosts of their services.
//
// # Responsibilities
//
// The package owns the routes, the validation of requests, and the only mapping from result codes to HTTP statuses (status.go). A handler
// decodes the request, checks whether a response of the primary can be expected, calls the Backend, and encodes the result.
//
// # Invariants
//
//   - A 4xx response to an operator's change is based on a commit or on the request itself. If the outcome is unknown, the status is 503,
//     and the operator repeats the same change.
//   - A heartbeat is acknowledged only by a process that has a lease.
//
// # Limits
//
// The package makes no decisions about the replicated state and stores none of it.
//
// # Processing of a configuration change
//
// replaceConfig (config.go) reads the body and the base version and validates the body. Backend.Submit replicates the command. Package
// state checks the versions (state/config.go) and returns OK, ConfigBase or ConfigInvalid, which this package maps to a status. Package
// feed distributes the configuration to the proxies.
package api
