package scenariogen

import (
	"errors"
	"slices"
	"testing"
)

func failingDay() *Day {
	return &Day{
		Name: "own-3", Length: 40,
		FinalFault: &FinalFault{Kind: "kill_all", Downtime: 1},
		Disruptions: []Disruption{
			{At: 2, Kind: "hup"},
			{At: 3, Kind: "node_kill", MachineClass: "core", Count: 2, Duration: 4},
			{At: 4, Kind: "burst", Magnitude: 2, Duration: 3},
			{At: 5, Kind: "core_cut", Duration: 3},
			{At: 9, Kind: "hup"},
		},
	}
}

func hasKind(day *Day, kind string) bool {
	return slices.ContainsFunc(day.Disruptions, func(d Disruption) bool { return d.Kind == kind })
}

func TestShrinkKeepsOnlyWhatTheCheckNeeds(t *testing.T) {
	day := failingDay()
	before := day.TOML()
	shortest, err := Shrink(day, 100, func(d *Day) (bool, error) {
		return hasKind(d, "node_kill") && hasKind(d, "core_cut"), nil
	}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	want := &Day{
		Name: "own-3", Length: 13.75,
		Disruptions: []Disruption{
			{At: 3, Kind: "node_kill", MachineClass: "core", Count: 1, Duration: 1},
			{At: 5, Kind: "core_cut", Duration: 0.75},
		},
	}
	if shortest.TOML() != want.TOML() {
		t.Errorf("shrunk to\n%s\nwant\n%s", shortest.TOML(), want.TOML())
	}
	if day.TOML() != before {
		t.Error("Shrink modified its argument")
	}
}

func TestShrinkStaysWithinItsBudget(t *testing.T) {
	runs := 0
	_, err := Shrink(failingDay(), 3, func(*Day) (bool, error) { runs++; return true, nil }, func(string) {})
	if err != nil || runs != 3 {
		t.Fatalf("%d runs, %v", runs, err)
	}
}

func TestShrinkReturnsTheBestSoFarWithAnError(t *testing.T) {
	failure := errors.New("run failed")
	runs := 0
	shortest, err := Shrink(failingDay(), 10, func(*Day) (bool, error) {
		if runs++; runs == 2 {
			return false, failure
		}
		return true, nil
	}, func(string) {})
	if !errors.Is(err, failure) || shortest.FinalFault != nil {
		t.Fatalf("%v, final fault %v", err, shortest.FinalFault)
	}
}
