package report

import (
	"bytes"
	"strings"
	"testing"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// run returns a run of a policy that served the fraction served of the requested value in time.
func run(decider string, seed uint64, served float64, overrides map[string]string) *batch.Run {
	results := metrics.New("day", decider, seed)
	results.Total = metrics.Share{Requested: 10, Served: 10 * served, NetValue: 10 * served}
	results.Plans["plan"] = &metrics.Share{Requested: 10, Served: 10 * served}
	results.Seconds = []metrics.Second{{Share: results.Total}}
	return &batch.Run{Overrides: overrides, Length: 1, Results: results}
}

func TestGroupsHoldRunsThatDifferOnlyInSeed(t *testing.T) {
	groups := Groups([]*batch.Run{
		run("a", 1, 0.5, map[string]string{"k": "1", "same": "x"}),
		run("a", 1, 0.5, map[string]string{"k": "2", "same": "x"}),
		run("a", 2, 0.7, map[string]string{"k": "1", "same": "x"}),
	})
	if len(groups) != 2 || len(groups[0].Runs) != 2 || groups[0].Name() != "a k=1" || groups[1].Name() != "a k=2" {
		t.Fatalf("groups %+v", groups)
	}
	if mean, spread := groups[0].Mean(outcomes[servedInTime].fraction); mean != 0.6 || spread < 0.14 || spread > 0.15 {
		t.Errorf("mean %v, spread %v", mean, spread)
	}
}

func TestDifferencesArePairedBySeed(t *testing.T) {
	var text bytes.Buffer
	runs := []*batch.Run{run("a", 1, 0.5, nil), run("a", 2, 0.7, nil), run("b", 2, 0.8, nil), run("b", 1, 0.6, nil), run("b", 3, 0, nil)}
	if err := Differences(&text, runs); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "served in time         +0.100 ± 0.000") {
		t.Errorf("text:\n%s", &text)
	}
}

func TestPageOfSweepShowsKeyInsteadOfDifferences(t *testing.T) {
	swept := []*batch.Run{run("a", 1, 0.5, map[string]string{"k": "1/s"}), run("a", 1, 0.6, map[string]string{"k": "2/s"})}
	for name, c := range map[string]struct {
		runs         []*batch.Run
		shows, omits string
	}{
		"swept":    {swept, "Against k", "Difference by cause"},
		"compared": {[]*batch.Run{run("a", 1, 0.5, nil), run("b", 1, 0.6, nil)}, "Difference by cause", "Against"},
	} {
		written, err := HTML("title", c.runs)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(written, []byte(c.shows)) || bytes.Contains(written, []byte(c.omits)) {
			t.Errorf("%s: the page does not show %q, or shows %q", name, c.shows, c.omits)
		}
	}
}
