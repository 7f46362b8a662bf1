package hangdetect

import (
	"testing"
	"time"
)

func TestClientsAbandonSilentStreams(t *testing.T) {
	for _, step := range []struct{ target, gap, remaining, want time.Duration }{
		{250 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second, 4 * time.Second},
		{800 * time.Millisecond, 100 * time.Millisecond, 5 * time.Second, 3200 * time.Millisecond},
		{0, 0, 5 * time.Second, 2 * time.Second},
		{0, 0, time.Second, time.Second},
	} {
		if got := ClientSilenceTimeout(step.target, step.gap, step.remaining); got != step.want {
			t.Errorf("%+v: %v", step, got)
		}
	}
}
