package storage

import (
	"fmt"

	"otterseam/tier/codes"
)

// CorruptRecordError is returned if a file does not contain what was written. It matches codes.DiskDamaged.
type CorruptRecordError struct {
	File   string // path of the file
	Offset int64  // of the corrupt record or header, in bytes
	Reason string
}

// Error returns the file, the offset, the reason and the code.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("%s: corrupt at byte %d: %s: %v", e.File, e.Offset, e.Reason, codes.DiskDamaged)
}

// Unwrap returns codes.DiskDamaged, the code for the log and for other processes.
func (e *CorruptRecordError) Unwrap() error { return codes.DiskDamaged }

// WriteError is returned if data could not be made durable. It matches codes.DiskWrite and the error of the file system.
type WriteError struct {
	Err error // of the file system, with the operation and the file
}

// Error returns the error of the file system and the code.
func (e *WriteError) Error() string { return fmt.Sprintf("%v: %v", e.Err, codes.DiskWrite) }

// Unwrap returns the code and the error of the file system.
func (e *WriteError) Unwrap() []error { return []error{codes.DiskWrite, e.Err} }
