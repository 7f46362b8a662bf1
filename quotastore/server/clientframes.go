package server

import (
	"bufio"
	"encoding/binary"
	"net"
	"time"

	"otterseam/internal/bytebudget"
	"otterseam/quotastore/protocol"
)

const (
	// maxHelloBytes is the longest first frame on a connection, which is received before its sender is known.
	maxHelloBytes = 4 << 10
	// largeFrameTimeout is the time limit for receiving a large frame, which others may wait for.
	largeFrameTimeout = 10 * time.Second
	frameLengthBytes  = 4 // length prefix of a frame

	defaultMemoryBytes = 256 << 20
	frameMemoryShare   = 4 // frames of clients may use 1/frameMemoryShare of the memory
)

// newFrameMemory returns the memory for the large frames that clients of a process send at the same time. The process should stay within a
// number of bytes; 0: the default.
func newFrameMemory(memoryBytes int64) *bytebudget.Budget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return bytebudget.New(min(memoryBytes/frameMemoryShare, protocol.MaxFrameBytes))
}

// readClientFrame reads the next frame of a client. A large one is read when there is memory for it. One that would need more than all of
// it is an error.
func (t *transport) readClientFrame(conn net.Conn, r *bufio.Reader) (*protocol.Frame, error) {
	prefix, err := r.Peek(frameLengthBytes)
	if err != nil {
		return nil, err
	}
	limit := t.clientFrames.Bytes()
	length := int64(binary.BigEndian.Uint32(prefix))
	if length >= bytebudget.LargeBytes && length <= limit {
		release, err := t.clientFrames.Acquire(t.ctx, length)
		if err != nil {
			return nil, err
		}
		defer release()
		_ = conn.SetReadDeadline(time.Now().Add(largeFrameTimeout))
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	return protocol.ReadFrame(r, uint32(limit))
}
