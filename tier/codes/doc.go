// Package codes defines the numbered results that processes of the serving tier return to each other, log in the field code, and
// include in the JSON bodies of the responses that they generate themselves. The table in docs/codes.md is generated from [Table].
//
// A [Code] is an error value like syscall.Errno: packages return it, wrapped with %w where a caller needs more detail, and callers
// test it with errors.Is. The package that responds over HTTP maps codes to HTTP statuses.
//
// # Invariants
//
//   - Neither a number nor a name is ever reused for another meaning.
//   - The hundreds digit is the category: 1 groups and messages, 2 requests of operators and hosts to control, 3 programs, 4 requests
//     at a proxy, 5 disks and connections.
package codes
