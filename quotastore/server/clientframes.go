package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sync/semaphore"

	"otterseam/quotastore/protocol"
)

const (
	// maxHelloBytes is the longest first frame on a connection, which is received before its sender is known.
	maxHelloBytes = 4 << 10
	// largeFrameBytes is the size from which on a frame counts against the memory for frames. Smaller ones never wait for larger ones.
	largeFrameBytes = 64 << 10
	// largeFrameTimeout is the time limit for receiving a large frame, which others may wait for.
	largeFrameTimeout = 10 * time.Second
	frameLengthBytes  = 4 // length prefix of a frame

	defaultMemoryBytes = 256 << 20
	frameMemoryShare   = 4 // frames of clients may use 1/frameMemoryShare of the memory
)

// frameMemory limits the memory of the large frames that clients send at the same time.
type frameMemory struct {
	bytes    int64
	reserved *semaphore.Weighted
}

// newFrameMemory returns the frame memory of a process that should stay within a number of bytes; 0: the default.
func newFrameMemory(memoryBytes int64) *frameMemory {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	bytes := min(memoryBytes/frameMemoryShare, protocol.MaxFrameBytes)
	return &frameMemory{bytes: bytes, reserved: semaphore.NewWeighted(bytes)}
}

// read reads the next frame of a client. A large one is read when there is memory for it. One that would need more than all of it is an
// error.
func (m *frameMemory) read(ctx context.Context, conn net.Conn, r *bufio.Reader) (*protocol.Frame, error) {
	prefix, err := r.Peek(frameLengthBytes)
	if err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(prefix))
	if length >= largeFrameBytes && length <= m.bytes {
		if err := m.reserved.Acquire(ctx, length); err != nil {
			return nil, err
		}
		defer m.reserved.Release(length)
		_ = conn.SetReadDeadline(time.Now().Add(largeFrameTimeout))
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	return protocol.ReadFrame(r, uint32(m.bytes))
}
