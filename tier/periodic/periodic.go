package periodic

import (
	"context"
	"time"
)

// Run calls work once per interval until the context is cancelled, for the first time after one interval. Calls that are missed
// because work takes longer than the interval are not made up for.
func Run(ctx context.Context, interval time.Duration, work func()) {
	RunOrWake(ctx, interval, nil, work)
}

// RunOrWake calls work once per interval and on each receive from wake, until the context is cancelled. A wake-up does not reset the
// interval.
func RunOrWake(ctx context.Context, interval time.Duration, wake <-chan struct{}, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		case <-wake:
			work()
		}
	}
}

// While calls step immediately and then repeatedly, with a pause between two calls, until step returns false or the context is
// cancelled.
func While(ctx context.Context, pause time.Duration, step func() bool) {
	for ctx.Err() == nil && step() {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}
