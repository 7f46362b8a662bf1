// Package opconfig reads and checks what operators and hosts send as JSON: the operator's configuration and a host's heartbeat.
// It finds the route and the service of a request in a configuration that was checked.
//
// # The life of one configuration
//
// Control's HTTP API hands a body to Parse, which decodes it (config.go, with generated code) and validates it (validate.go). A
// configuration that was accepted there is committed and distributed as it came; each proxy parses it again and makes a Table of
// it, which is never changed afterwards and may be read from several goroutines.
//
// # Invariants
//
//   - The JSON keys are those of the operator's pages. Unknown keys are skipped, so that an older build reads a newer file.
//   - A body that was cut short anywhere is never accepted.
//   - Every error of Parse is a ValidationError with the path of the field, and errors.Is finds codes.ConfigInvalid in it.
//
// # What it must not do
//
// It decides nothing about when a configuration is accepted or which of two is newer; package configlog does.
package opconfig
