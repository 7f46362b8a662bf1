package policydriver

import (
	"math"
	"testing"
)

func TestTimerHoldsSoonestTime(t *testing.T) {
	const now = 100
	for _, c := range []struct {
		name        string
		set         float64 // time left on the timer; 0: not set
		delay       float64
		wantAt      float64
		wantChanged bool
	}{
		{"not set", 0, 2, now + 2, true},
		{"sooner", 5, 2, now + 2, true},
		{"later", 2, 5, now + 2, false},
		{"the same", 2, 2, now + 2, false},
		{"never, and not set", 0, math.Inf(1), 0, false},
		{"never, but set", 2, math.Inf(1), now + 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var timer Timer
			if c.set > 0 {
				timer.Schedule(c.set, now)
			}
			if at, changed := timer.Schedule(c.delay, now); at != c.wantAt || changed != c.wantChanged {
				t.Errorf("got %v, %v; want %v, %v", at, changed, c.wantAt, c.wantChanged)
			}
		})
	}
}

func TestTimerIsDueUntilCleared(t *testing.T) {
	var timer Timer
	if timer.Due(100) {
		t.Error("due before it was set")
	}
	timer.Schedule(2, 100)
	if timer.Due(101.9) || !timer.Due(102) {
		t.Error("not due at its time")
	}
	if timer.Clear(); timer.Due(200) {
		t.Error("due after it was cleared")
	}
}
