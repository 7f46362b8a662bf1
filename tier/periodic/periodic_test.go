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
	RunOrWake(ctx, time.Hour, wake, func() {
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

func TestWhileEndsWithItsStepOrItsContext(t *testing.T) {
	steps := 0
	While(t.Context(), time.Millisecond, func() bool {
		steps++
		return steps < 3
	})
	if steps != 3 {
		t.Fatalf("%d steps", steps)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	While(ended, time.Hour, func() bool {
		t.Error("a step after the end")
		return true
	})
	beside, cancel := context.WithCancel(t.Context())
	While(beside, time.Hour, func() bool {
		cancel()
		return true
	})
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
