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

// Work that is waited for does not wait for the interval.
func TestRunOrWakeRunsAtOnceWhenWoken(t *testing.T) {
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

func TestWhileEndsWithItsStepOrItsContext(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		// step is called with the number of the call, from 1 on.
		step      func(call int, cancel context.CancelFunc) bool
		cancelled bool // before the start
		want      int
	}{
		"step returns false": {time.Millisecond, func(call int, _ context.CancelFunc) bool { return call < 3 }, false, 3},
		"ended before":       {time.Hour, func(int, context.CancelFunc) bool { return true }, true, 0},
		"ends during a step": {time.Hour, func(_ int, cancel context.CancelFunc) bool {
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
				t.Fatalf("%d steps, not %d", calls, test.want)
			}
		})
	}
}
