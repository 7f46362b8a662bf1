package replication

import "testing"

// A leader's clock starts at the clock of the group's state, advances at the rate of the process's clock, and never by more than
// maxClockStep at once.
func TestGroupClockContinuesFromState(t *testing.T) {
	const stateClock = 40.0
	var c groupClock
	for _, step := range []struct {
		name      string
		now, want float64
	}{
		{"starts at the clock of the state", 100, 40},
		{"advances with the process's clock", 100.5, 40.5},
		{"stops when the process's clock goes back", 90, 40.5},
		{"advances again", 101, 41},
		{"advances by one step after the process was suspended", 200, 42},
		{"advances after that step", 200.25, 42.25},
	} {
		if got := c.next(step.now, stateClock); got != step.want {
			t.Fatalf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}
