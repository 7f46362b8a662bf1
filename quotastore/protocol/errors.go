package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformedFrame is returned for a frame of an unknown kind, or without the body that its kind requires.
var ErrMalformedFrame = errors.New("frame: unknown kind or missing body")

// FrameSizeError is returned for a frame whose announced length is zero or exceeds the reader's limit.
type FrameSizeError struct {
	Bytes uint32 // announced length
	Limit uint32 // of the reader
}

func (e *FrameSizeError) Error() string { return fmt.Sprintf("frame length %d out of range", e.Bytes) }

// FrameTooLongError is returned for a frame to be sent that is longer than MaxFrameBytes. Its text is part of answers to
// operators' commands.
type FrameTooLongError struct {
	Bytes int
}

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is longer than any may be", e.Bytes)
}
