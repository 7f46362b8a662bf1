package rpc

import (
	"context"
	"time"

	"otterseam/internal/bytebudget"
)

// largeFrameTimeout is the time limit for receiving a frame that others may wait for. Its sender may be suspended.
const largeFrameTimeout = 5 * time.Second

// isLimited reports whether a frame counts against the connection's budget. Only calls and answers do: one-way messages, such as those
// between replicas, never wait.
func (c *Conn) isLimited(h header) bool {
	return c.frames != nil && h.ID != 0 && h.Length >= bytebudget.LargeBytes
}

// acquireFrame waits until a frame fits into the budget and returns the function that releases it. Meanwhile the connection isn't read, so
// that its peer stops sending. It returns an error if the connection ends first.
func (c *Conn) acquireFrame(h header) (release func(), err error) {
	if !c.isLimited(h) {
		return func() {}, nil
	}
	if release, ok := c.frames.TryAcquire(int64(h.Length)); ok {
		return release, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-c.closed:
		case <-ctx.Done():
		}
	}()
	return c.frames.Acquire(ctx, int64(h.Length))
}
