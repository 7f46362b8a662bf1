// Package settings reads and checks the settings file of a process of the serving tier: a Java properties file whose path stands in
// the environment variable OTTERSEAM_NODE_FILE.
//
// # Invariants
//
//   - The keys are those of the operator's pages. Unknown keys are skipped, so that an older build reads a newer file.
//   - A missing or wrong field is a FieldError with its key. Of several the first in the order of Parse is named.
//   - The ports for traffic between processes are laid out alike on all machines, from the first of internal_ports on: control,
//     store, agent.
//
// # What it must not do
//
// It opens no port and fills in nothing that depends on the role: a process checks with Require what its role needs.
package settings
