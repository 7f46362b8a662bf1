package rpc

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// largeFrameBytes is the size from which on a frame counts against a FrameBudget. Smaller ones must never wait for larger ones.
const largeFrameBytes = 64 << 10

// FrameBudget limits the memory of the large frames that connections receive at the same time. A connection whose frame doesn't fit
// stops reading until it does, so that its peer stops sending.
type FrameBudget struct {
	bytes    int64
	reserved *semaphore.Weighted
}

// NewFrameBudget returns a budget of a number of bytes. A frame larger than that is received alone.
func NewFrameBudget(bytes int64) *FrameBudget {
	return &FrameBudget{bytes: bytes, reserved: semaphore.NewWeighted(bytes)}
}

// acquire reserves the payload of a frame and returns the function that releases it. It returns an error if ended is closed first. It
// may be called on nil.
func (b *FrameBudget) acquire(ended <-chan struct{}, length uint32) (release func(), err error) {
	if b == nil || length < largeFrameBytes {
		return func() {}, nil
	}
	weight := min(int64(length), b.bytes)
	release = func() { b.reserved.Release(weight) }
	if b.reserved.TryAcquire(weight) {
		return release, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}()
	if err := b.reserved.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return release, nil
}
