package periodic

import (
	"context"
	"time"
)

// Run calls work once in each interval until the context ends, the first time after one interval. Work that takes longer than the
// interval is not made up for.
func Run(ctx context.Context, interval time.Duration, work func()) {
	RunOrWake(ctx, interval, nil, work)
}

// RunOrWake calls work once in each interval and whenever it is woken, until the context ends. A wake does not move the interval.
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

// While calls step at once and then again and again, with a pause between, until it returns false or the context ends.
func While(ctx context.Context, pause time.Duration, step func() bool) {
	for ctx.Err() == nil && step() {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}
