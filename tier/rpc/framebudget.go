package rpc

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// largeFrameBytes is the size from which on a frame counts against a FrameBudget. Smaller ones must never wait for larger ones.
	largeFrameBytes = 64 << 10
	// largeFrameTimeout is the time limit for receiving a frame that others may wait for. Its sender may be suspended.
	largeFrameTimeout = 5 * time.Second
)

// FrameBudget limits the memory of the large calls and answers that connections receive at the same time. A connection whose frame doesn't
// fit stops reading until it does, so that its peer stops sending. One-way messages, such as those between replicas, never wait.
type FrameBudget struct {
	bytes    int64
	reserved *semaphore.Weighted
}

// NewFrameBudget returns a budget of a number of bytes. A frame larger than that is received alone.
func NewFrameBudget(bytes int64) *FrameBudget {
	return &FrameBudget{bytes: bytes, reserved: semaphore.NewWeighted(bytes)}
}

// limits reports whether a frame counts against the budget. It may be called on nil.
func (b *FrameBudget) limits(h header) bool {
	return b != nil && h.ID != 0 && h.Length >= largeFrameBytes
}

// acquire reserves the payload of a frame and returns the function that releases it. It returns an error if ended is closed first. It
// may be called on nil.
func (b *FrameBudget) acquire(ended <-chan struct{}, h header) (release func(), err error) {
	if !b.limits(h) {
		return func() {}, nil
	}
	weight := min(int64(h.Length), b.bytes)
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
