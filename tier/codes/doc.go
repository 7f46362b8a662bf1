// Package codes numbers the results that processes of the serving tier give each other, write into their logs as the field code, and
// put into the JSON bodies of their own answers. The table in docs/codes.md is made from [Table].
//
// A [Code] is an error value in the manner of syscall.Errno: packages return it, wrapped with %w where a caller needs more, and
// callers test it with errors.Is. Which HTTP status a code becomes is decided by the package that answers over HTTP.
//
// # Invariants
//
//   - A number is never used again for another meaning, nor a name.
//   - Hundreds tell the field: 1 groups and messages, 2 what operators and hosts ask of control, 3 programs, 4 requests at a proxy,
//     5 disks and connections.
package codes
