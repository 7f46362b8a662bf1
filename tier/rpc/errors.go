package rpc

import (
	"fmt"

	"otterseam/tier/codes"
)

// FrameTooLargeError is the error for a frame whose header states a payload longer than MaxFrame: the stream is corrupt, or the peer
// uses another protocol. It wraps codes.Malformed.
type FrameTooLargeError struct {
	Length uint32 // length of the payload in bytes, according to the header
}

// Error returns the length and the text of the code.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes: %s", e.Length, codes.Malformed.Error())
}

// Unwrap returns codes.Malformed.
func (*FrameTooLargeError) Unwrap() error { return codes.Malformed }
