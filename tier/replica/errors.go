package replica

import (
	"fmt"

	"otterseam/tier/codes"
)

// RestoreError says that a snapshot arrived whole and that the state machine could not restore it, as one of a newer format. It matches
// codes.Malformed and the error of the state machine.
type RestoreError struct {
	Index uint64 // of the last entry that the snapshot covers
	Bytes int    // of the snapshot
	Err   error  // of the state machine
}

// Error names the snapshot and the error of the state machine.
func (e *RestoreError) Error() string {
	return fmt.Sprintf("snapshot of %d bytes at index %d can't be restored: %v", e.Bytes, e.Index, e.Err)
}

// Unwrap gives the code and the error of the state machine.
func (e *RestoreError) Unwrap() []error { return []error{codes.Malformed, e.Err} }
