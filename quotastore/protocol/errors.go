package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformedFrame is returned for a frame of an unknown kind, or without the body that its kind needs.
var ErrMalformedFrame = errors.New("frame: of no kind that is known")

// FrameSizeError says that a frame's announced length is zero or more than the reader takes.
type FrameSizeError struct {
	Bytes uint32 // as announced
	Limit uint32 // the reader's
}

func (e *FrameSizeError) Error() string { return fmt.Sprintf("a frame of %d bytes", e.Bytes) }

// FrameTooLongError says that a frame to be sent is longer than MaxFrameBytes. Its text is part of answers to operators'
// commands.
type FrameTooLongError struct {
	Bytes int
}

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is longer than any may be", e.Bytes)
}
