package store

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"otterseam/tier/codes"
)

const (
	// largeCommandBytes is the size from which on a command counts against the budget. Smaller ones must never wait for larger ones.
	largeCommandBytes = 64 << 10
	// maxWaitingAnswers is how many times their budget large answers may wait for. They take no memory while they wait, other than
	// commands.
	maxWaitingAnswers = 64
)

// commandBudget limits the memory of large commands that wait to be committed, or of large answers that wait to be written. Each one is in
// memory several times until then: a command in the log, in the write to disk and in the messages to the replicas.
type commandBudget struct {
	bytes      int64
	maxWaiting int64 // bytes that may wait for the budget
	admitted   *semaphore.Weighted
	waiting    atomic.Int64 // bytes that wait for the budget
}

// newCommandBudget returns a budget of a number of bytes, for which a number of times as many may wait.
func newCommandBudget(bytes, maxWaiting int64) *commandBudget {
	return &commandBudget{bytes: bytes, maxWaiting: maxWaiting * bytes, admitted: semaphore.NewWeighted(bytes)}
}

// acquire waits until a command fits into the budget and returns the function that releases it. It returns codes.Unavailable at once if
// too many others wait, and codes.Timeout if the context ends first. The command has not been proposed then.
func (b *commandBudget) acquire(ctx context.Context, length int) (release func(), err error) {
	if length < largeCommandBytes {
		return func() {}, nil
	}
	weight := min(int64(length), b.bytes)
	release = func() { b.admitted.Release(weight) }
	if b.admitted.TryAcquire(weight) {
		return release, nil
	}
	defer b.waiting.Add(-weight)
	if b.waiting.Add(weight) > b.maxWaiting {
		return nil, codes.Unavailable
	}
	if b.admitted.Acquire(ctx, weight) != nil {
		return nil, codes.Timeout
	}
	return release, nil
}
