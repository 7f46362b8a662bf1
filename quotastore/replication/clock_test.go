package replication

import "testing"

// A leader's clock goes on from that of the group, at the pace of its process, and never by more than maxClockStep.
func TestGroupClockGoesOnFromTheState(t *testing.T) {
	const stateClock = 40.0
	var c groupClock
	for _, step := range []struct {
		name      string
		now, want float64
	}{
		{"begins where the state is", 100, 40},
		{"goes on with the process", 100.5, 40.5},
		{"stands still when the process's clock goes back", 90, 40.5},
		{"goes on again", 101, 41},
		{"takes one step after the process stood still", 200, 42},
		{"and goes on from there", 200.25, 42.25},
	} {
		if got := c.next(step.now, stateClock); got != step.want {
			t.Fatalf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}
