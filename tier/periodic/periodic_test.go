package periodic

import (
	"context"
	"testing"
	"time"
)

// Work that is waited for does not wait for the interval.
func TestAWakeRunsTheWorkAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	wake := make(chan struct{}, 1)
	wake <- struct{}{}
	calls := 0
	RunOrWhen(ctx, time.Hour, wake, func() {
		if calls++; calls == 3 {
			cancel()
			return
		}
		wake <- struct{}{}
	})
	if calls != 3 {
		t.Fatalf("it ended after %d calls", calls)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Run(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls < 3 {
		t.Fatalf("it ended after %d calls", calls)
	}
}
