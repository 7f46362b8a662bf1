// Package bytebudget limits the memory of the large pieces of data that a process handles at the same time, such as frames or commands.
package bytebudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// LargeBytes is the size from which on a piece counts against a Budget. Smaller ones must never wait for larger ones.
const LargeBytes = 64 << 10

// Budget is a number of bytes that large pieces share. It is safe for concurrent use.
type Budget struct {
	bytes    int64
	reserved *semaphore.Weighted
}

// New returns a budget of a number of bytes. A piece larger than that is handled alone.
func New(bytes int64) *Budget { return &Budget{bytes: bytes, reserved: semaphore.NewWeighted(bytes)} }

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 { return b.bytes }

// TryAcquire reserves a piece of a length if it fits now, and returns the function that releases it.
func (b *Budget) TryAcquire(length int64) (release func(), ok bool) {
	if length < LargeBytes {
		return func() {}, true
	}
	weight := min(length, b.bytes)
	if !b.reserved.TryAcquire(weight) {
		return nil, false
	}
	return func() { b.reserved.Release(weight) }, true
}

// Acquire waits until a piece of a length fits, and returns the function that releases it. It returns the context's error if the context
// ends first.
func (b *Budget) Acquire(ctx context.Context, length int64) (release func(), err error) {
	if release, ok := b.TryAcquire(length); ok {
		return release, nil
	}
	weight := min(length, b.bytes)
	if err := b.reserved.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { b.reserved.Release(weight) }, nil
}
