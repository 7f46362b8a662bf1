package outage

import (
	"errors"
	"math"
	"testing"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// runOf returns a run of 30 s with an outage from second 12 to second 20. served returns the value served in a second.
func runOf(served func(second int) float64) *batch.Run {
	run := &batch.Run{
		Length: 30, Faults: []batch.Fault{{Kind: "slow", At: 1, Ends: 2}, {Kind: faultKind, At: 12, Ends: 20}},
		Results: &metrics.Results{Day: "dark", Decider: "module", Seed: 7, ViolationCount: 3},
	}
	for second := range 30 {
		run.Seconds = append(run.Seconds, metrics.Second{Share: metrics.Share{Served: served(second)}, Attempts: float64(second), Dials: 2})
	}
	return run
}

func TestMeasureCountsWhatIsSentBeforeAndInTheOutage(t *testing.T) {
	m, err := Measure(runOf(func(int) float64 { return 10 }))
	if err != nil {
		t.Fatal(err)
	}
	if m.Day != "dark" || m.Decider != "module" || m.Seed != 7 || m.Violations != 3 {
		t.Errorf("measured another run: %+v", m)
	}
	const meanOfSeconds2To11 = 6.5
	if math.Abs(m.AttemptsBefore-meanOfSeconds2To11) > 1e-9 {
		t.Errorf("%v attempts a second before, want %v", m.AttemptsBefore, meanOfSeconds2To11)
	}
	if m.Attempts != 12+13+14+15+16+17+18+19 || m.Dials != 16 || m.AttemptsAmid != 16 {
		t.Errorf("%v attempts, %v dials, %v attempts in a second of the outage", m.Attempts, m.Dials, m.AttemptsAmid)
	}
}

func TestMeasureFindsTheRecovery(t *testing.T) {
	tests := []struct {
		name      string
		served    func(second int) float64
		seconds   int
		least     float64
		recovered bool
	}{
		{"at once", func(int) float64 { return 10 }, 0, 1, true},
		{"after three seconds, with a dip", func(second int) float64 {
			switch {
			case second >= 12 && second < 23:
				return 9
			case second == 25:
				return 5
			}
			return 10
		}, 3, 0.5, true},
		{"never", func(second int) float64 {
			if second >= 12 {
				return 9
			}
			return 10
		}, 10, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, err := Measure(runOf(test.served))
			if err != nil {
				t.Fatal(err)
			}
			if m.RecoverySeconds != test.seconds || m.NeverRecovered == test.recovered || math.Abs(m.LeastServed-test.least) > 1e-9 {
				t.Errorf("recovery after %d s, never %v, least served %v", m.RecoverySeconds, m.NeverRecovered, m.LeastServed)
			}
		})
	}
}

func TestMeasureRejectsRunsWithoutAnOutageInTheMiddle(t *testing.T) {
	for name, faults := range map[string][]batch.Fault{
		"no outage":         {{Kind: "slow", At: 5, Ends: 9}},
		"at the beginning":  {{Kind: faultKind, At: 1, Ends: 9}},
		"to the end of day": {{Kind: faultKind, At: 5, Ends: 29.5}},
	} {
		run := runOf(func(int) float64 { return 10 })
		run.Faults = faults
		if _, err := Measure(run); !errors.Is(err, ErrNoOutage) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
