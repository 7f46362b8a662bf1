package periodic

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func ExampleWhile() {
	left := 3
	While(context.Background(), time.Millisecond, func() bool {
		left--
		fmt.Println(left)
		return left > 0
	})
	// Output:
	// 2
	// 1
	// 0
}

// A wake-up runs the work without waiting for the interval.
func TestRunOrWakeRunsImmediatelyWhenWoken(t *testing.T) {
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
		t.Fatalf("RunOrWake returned after %d calls", calls)
	}
}

func TestRunReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Run(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls < 3 {
		t.Fatalf("Run returned after %d calls", calls)
	}
}

func TestWhileReturnsOnFalseStepOrCancelledContext(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		// step receives the number of the call, starting at 1.
		step      func(call int, cancel context.CancelFunc) bool
		cancelled bool // before the start
		want      int
	}{
		"step returns false":         {time.Millisecond, func(call int, _ context.CancelFunc) bool { return call < 3 }, false, 3},
		"cancelled before the start": {time.Hour, func(int, context.CancelFunc) bool { return true }, true, 0},
		"cancelled during a step": {time.Hour, func(_ int, cancel context.CancelFunc) bool {
			cancel()
			return true
		}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.cancelled {
				cancel()
			}
			calls := 0
			While(ctx, test.pause, func() bool {
				calls++
				return test.step(calls, cancel)
			})
			if calls != test.want {
				t.Fatalf("got %d steps, want %d", calls, test.want)
			}
		})
	}
}
