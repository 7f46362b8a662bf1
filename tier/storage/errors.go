package storage

import (
	"fmt"

	"otterseam/tier/codes"
)

// CorruptRecordError says that a file holds something else than what was written. It matches codes.DiskDamaged.
type CorruptRecordError struct {
	File   string // its path
	Offset int64  // in bytes, of the record or header that is corrupt
	Reason string
}

// Error names the file, the offset and the reason.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("%s: corrupt at byte %d: %s: %v", e.File, e.Offset, e.Reason, codes.DiskDamaged)
}

// Unwrap is the code for the log and for other processes.
func (e *CorruptRecordError) Unwrap() error { return codes.DiskDamaged }

// WriteError says that something could not be made durable. It matches codes.DiskWrite and the error of the file system.
type WriteError struct {
	Err error // of the file system, which names operation and file
}

// Error is the error of the file system and the code.
func (e *WriteError) Error() string { return fmt.Sprintf("%v: %v", e.Err, codes.DiskWrite) }

// Unwrap gives the code and the error of the file system.
func (e *WriteError) Unwrap() []error { return []error{codes.DiskWrite, e.Err} }
