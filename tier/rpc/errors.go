package rpc

import (
	"fmt"

	"otterseam/tier/codes"
)

// FrameTooLargeError is the error of a frame whose header names a payload beyond MaxFrame: the stream is damaged, or the peer speaks
// another protocol. errors.Is finds codes.Malformed in it.
type FrameTooLargeError struct {
	Length uint32 // in bytes, as the header says
}

// Error names the length and the code.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes: %s", e.Length, codes.Malformed.Error())
}

// Unwrap gives the code.
func (*FrameTooLargeError) Unwrap() error { return codes.Malformed }
