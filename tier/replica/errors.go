package replica

import (
	"fmt"

	"otterseam/tier/codes"
)

// RestoreError reports that a snapshot was received in full but the state machine could not restore it, for example because its
// format is newer. It matches codes.Malformed and the state machine's error.
type RestoreError struct {
	Index uint64 // index of the last entry that the snapshot covers
	Bytes int    // size of the snapshot
	Err   error  // the state machine's error
}

// Error describes the snapshot and the state machine's error.
func (e *RestoreError) Error() string {
	return fmt.Sprintf("snapshot of %d bytes at index %d can't be restored: %v", e.Bytes, e.Index, e.Err)
}

// Unwrap returns codes.Malformed and the state machine's error.
func (e *RestoreError) Unwrap() []error { return []error{codes.Malformed, e.Err} }
