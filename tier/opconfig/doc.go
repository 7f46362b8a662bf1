// Package opconfig decodes and validates the JSON documents of operators and hosts: the operator's configuration and the heartbeats
// of hosts. In a valid configuration it finds the route and the service of a request.
//
// # Processing of a configuration
//
// Control's HTTP API passes a request body to Parse, which decodes it (config.go, with generated code) and validates it
// (validate.go). An accepted configuration is committed and distributed unchanged. Each proxy parses it again and makes a Table of
// it, which is immutable and safe for concurrent use.
//
// # Invariants
//
//   - The JSON keys are those of the operator documentation. Unknown keys are ignored, so that an older build can read a newer file.
//   - A body that was truncated anywhere is never accepted.
//   - Every error of Parse is a ValidationError with the path of the field, and it matches codes.ConfigInvalid.
//
// # Non-goals
//
// The package does not decide when a configuration is accepted or which of two is newer. Package configlog does.
package opconfig
