// Package settings reads and checks the settings file of a process of the serving tier: a Java properties file whose path is the
// value of the environment variable OTTERSEAM_NODE_FILE.
//
// # Invariants
//
//   - The keys are those of the operator documentation. Unknown keys are ignored, so that an older build can read a newer file.
//   - A missing or invalid field is a FieldError with its key. If there are several, the error is that of the first one in the order
//     of Parse.
//   - The ports for traffic between processes are the same on all machines. From the first port of internal_ports on they are, in
//     this order, those of control, store and agent.
//
// # Non-goals
//
// The package opens no port and sets no defaults that depend on the role. A process checks with Require that the fields that its
// role needs are set.
package settings
