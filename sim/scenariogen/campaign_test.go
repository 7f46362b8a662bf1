package scenariogen

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// fakeBenchVariable is the environment variable that makes the test binary act as the bench.
const fakeBenchVariable = "OWNDAYS_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(fakeBenchVariable) != "" {
		os.Exit(fakeBench(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// fakeBench acts as the bench. A day with a core_cut violates a rule, and a day with a replace_core fails to run.
func fakeBench(args []string) int {
	if args[0] == "kinds" {
		fmt.Print(kindList)
		return 0
	}
	day, err := os.ReadFile(args[2])
	if err != nil {
		return 1
	}
	if strings.Contains(string(day), "replace_core") {
		fmt.Println("gave up")
		return 1
	}
	report := `{"G": 0.9, "served": 0.95, "fault": null, "short": ["class chat"], "breaks": {"GONE": 0}, "exits_n": 2, "times": {"config acked": [20, 1730], "other": null}}`
	if strings.Contains(string(day), "core_cut") {
		report = `{"G": 0.4, "served": 0.5, "fault": null, "short": [], "breaks": {"LOST": 3}}`
	}
	if err := os.WriteFile(args[slices.Index(args, "--report")+1], []byte(report), 0o644); err != nil {
		return 1
	}
	return 0
}

func newTestCampaign(t *testing.T) (*Campaign, string, *[]string) {
	t.Helper()
	t.Setenv(fakeBenchVariable, "1")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	site := filepath.Join(folder, "site.toml")
	if err := os.WriteFile(site, []byte(siteTOML), 0o644); err != nil {
		t.Fatal(err)
	}
	var lines []string
	var linesLock sync.Mutex
	campaign := &Campaign{
		Bench:     &Bench{Program: program, Root: folder, Dir: t.TempDir(), Reason: "test"},
		FirstSeed: 1, DaysPerSite: 12, Jobs: 3, KeepDir: t.TempDir(), ShrinkBudget: 60,
		OnLine: func(line string) {
			linesLock.Lock()
			defer linesLock.Unlock()
			lines = append(lines, line)
		},
	}
	return campaign, site, &lines
}

func TestCampaignKeepsAndShrinksDaysThatViolateARule(t *testing.T) {
	campaign, site, lines := newTestCampaign(t)
	results, err := campaign.Run(t.Context(), []string{site})
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != campaign.DaysPerSite {
		t.Fatalf("%d days run, want %d", len(results), campaign.DaysPerSite)
	}
	broken, failed := 0, 0
	for i, result := range results {
		if result.Seed != uint64(i+1) {
			t.Errorf("day %d has seed %d", i, result.Seed)
		}
		_, kept := os.Stat(filepath.Join(campaign.KeepDir, result.Name+dayExtension))
		if kept != nil {
			t.Errorf("%s was not kept: %v", result.Name, kept)
		}
		switch {
		case result.Err != nil:
			failed++
		case result.Violated():
			broken++
			checkShrunk(t, result)
		}
	}
	if broken == 0 || failed == 0 {
		t.Errorf("%d days violated a rule and %d failed; the chosen seeds must give some of each", broken, failed)
	}
	if !slices.ContainsFunc(*lines, func(line string) bool { return strings.Contains(line, "BROKEN LOST") }) {
		t.Errorf("no output line names the violated rule: %q", *lines)
	}
	const short = `slowest change 1730 ms, no rule broken; 2 processes ended by themselves; gate: "class chat"`
	if !slices.ContainsFunc(*lines, func(line string) bool { return strings.Contains(line, short) }) {
		t.Errorf("no output line names the failed gate: %q", *lines)
	}
}

// checkShrunk checks that only one disruption is left: the core_cut that violates the rule of fakeBench.
func checkShrunk(t *testing.T, result *Result) {
	t.Helper()
	shrunk, err := os.ReadFile(result.Shrunk)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(shrunk), "kind = ") != 1 || !strings.Contains(string(shrunk), "core_cut") {
		t.Errorf("shrunk to\n%s", shrunk)
	}
}

func TestCampaignWithWriteOnlyRunsNoDays(t *testing.T) {
	campaign, site, lines := newTestCampaign(t)
	campaign.WriteOnly = true
	results, err := campaign.Run(t.Context(), []string{site})
	if err != nil || len(results) != 0 || len(*lines) != campaign.DaysPerSite {
		t.Fatalf("%d days run, output %q, %v", len(results), *lines, err)
	}
	written, err := os.ReadFile(campaign.Bench.DayFile("orchard-own-1"))
	if want := newTestGenerator(t, 1).Day(1).TOML(); err != nil || string(written) != want {
		t.Errorf("%v: wrote\n%s\nwant\n%s", err, written, want)
	}
	if reports, _ := filepath.Glob(filepath.Join(campaign.Bench.Dir, "*.json")); len(reports) > 0 {
		t.Errorf("reports were written: %q", reports)
	}
}

func TestCampaignErrorNamesInvalidSiteFile(t *testing.T) {
	campaign, _, _ := newTestCampaign(t)
	other := filepath.Join(t.TempDir(), "other.toml")
	if err := os.WriteFile(other, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := campaign.Run(t.Context(), []string{other}); err == nil || !strings.Contains(err.Error(), "other.toml") {
		t.Fatalf("error %v", err)
	}
}

func TestViolatedRulesIncludesFault(t *testing.T) {
	tests := []struct {
		report Report
		want   []string
	}{
		{Report{}, nil},
		{Report{Fault: []byte("null"), Violations: map[string]any{"GONE": 0.0}}, nil},
		{Report{Fault: []byte(`"out of memory"`), Violations: map[string]any{"LOST": 2.0, "CONFIG": []any{"x"}}}, []string{"CONFIG", "LOST", "fault"}},
	}
	for _, test := range tests {
		if got := test.report.ViolatedRules(); !slices.Equal(got, test.want) {
			t.Errorf("%+v: violated rules %q, want %q", test.report, got, test.want)
		}
	}
}
