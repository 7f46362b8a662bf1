package periodic

import (
	"context"
	"testing"
	"time"
)

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
