package store

import (
	"context"
	"sync/atomic"

	"otterseam/internal/bytebudget"
	"otterseam/tier/codes"
)

// maxWaitingAnswers is how many times their budget large answers may wait for. They take no memory while they wait, other than commands.
const maxWaitingAnswers = 64

// commandBudget limits the memory of large commands that wait to be committed, or of large answers that wait to be written. Each one is in
// memory several times until then: a command in the log, in the write to disk and in the messages to the replicas.
type commandBudget struct {
	budget     *bytebudget.Budget
	maxWaiting int64        // bytes that may wait for the budget
	waiting    atomic.Int64 // bytes that wait for the budget
}

// newCommandBudget returns a budget of a number of bytes, for which a number of times as many may wait.
func newCommandBudget(bytes, maxWaiting int64) *commandBudget {
	return &commandBudget{budget: bytebudget.New(bytes), maxWaiting: maxWaiting * bytes}
}

// acquire waits until a command fits into the budget and returns the function that releases it. It returns codes.Unavailable at once if
// too many others wait, and codes.Timeout if the context ends first. The command has not been proposed then.
func (b *commandBudget) acquire(ctx context.Context, length int) (release func(), err error) {
	if release, ok := b.budget.TryAcquire(int64(length)); ok {
		return release, nil
	}
	bytes := min(int64(length), b.budget.Bytes())
	defer b.waiting.Add(-bytes)
	if b.waiting.Add(bytes) > b.maxWaiting {
		return nil, codes.Unavailable
	}
	if release, err = b.budget.Acquire(ctx, int64(length)); err != nil {
		return nil, codes.Timeout
	}
	return release, nil
}
