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

// standInVariable makes the test program stand in for the bench.
const standInVariable = "OWNDAYS_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(standInVariable) != "" {
		os.Exit(standIn(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// standIn answers as the bench does. A day with a core_cut breaks a rule; one with a replace_core can't be played.
func standIn(args []string) int {
	if args[0] == "kinds" {
		fmt.Print(list)
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
	t.Setenv(standInVariable, "1")
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
	var adding sync.Mutex
	campaign := &Campaign{
		Bench:     &Bench{Program: program, Root: folder, Dir: t.TempDir(), Reason: "test"},
		FirstSeed: 1, DaysPerSite: 12, Jobs: 3, KeepDir: t.TempDir(), ShrinkBudget: 60,
		OnLine: func(line string) {
			adding.Lock()
			defer adding.Unlock()
			lines = append(lines, line)
		},
	}
	return campaign, site, &lines
}

func TestACampaignKeepsAndShrinksDaysThatBrokeARule(t *testing.T) {
	campaign, site, lines := newTestCampaign(t)
	played, err := campaign.Run(t.Context(), []string{site})
	if err != nil {
		t.Fatal(err)
	}
	if len(played) != campaign.DaysPerSite {
		t.Fatalf("%d days played, want %d", len(played), campaign.DaysPerSite)
	}
	broken, failed := 0, 0
	for i, result := range played {
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
		t.Errorf("%d days broken and %d failed; the seeds chosen should give some of each", broken, failed)
	}
	if !slices.ContainsFunc(*lines, func(line string) bool { return strings.Contains(line, "BROKEN LOST") }) {
		t.Errorf("no line tells of the broken rule: %q", *lines)
	}
	const short = `slowest change 1730 ms, no rule broken; 2 processes ended by themselves; gate: "class chat"`
	if !slices.ContainsFunc(*lines, func(line string) bool { return strings.Contains(line, short) }) {
		t.Errorf("no line tells what fell short: %q", *lines)
	}
}

// checkShrunk wants one disruption to be left, the one by which the stand-in's rule breaks.
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

func TestACampaignOnlyWritesDaysWhereAsked(t *testing.T) {
	campaign, site, lines := newTestCampaign(t)
	campaign.WriteOnly = true
	played, err := campaign.Run(t.Context(), []string{site})
	if err != nil || len(played) != 0 || len(*lines) != campaign.DaysPerSite {
		t.Fatalf("%d played, output %q, %v", len(played), *lines, err)
	}
	written, err := os.ReadFile(campaign.Bench.DayFile("orchard-own-1"))
	if want := newTestGenerator(t, 1).Day(1).TOML(); err != nil || string(written) != want {
		t.Errorf("%v: wrote\n%s\nwant\n%s", err, written, want)
	}
	if reports, _ := filepath.Glob(filepath.Join(campaign.Bench.Dir, "*.json")); len(reports) > 0 {
		t.Errorf("there are reports: %q", reports)
	}
}

func TestACampaignNamesTheFileThatIsNoSite(t *testing.T) {
	campaign, _, _ := newTestCampaign(t)
	other := filepath.Join(t.TempDir(), "other.toml")
	if err := os.WriteFile(other, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := campaign.Run(t.Context(), []string{other}); err == nil || !strings.Contains(err.Error(), "other.toml") {
		t.Fatalf("error %v", err)
	}
}

func TestAReportNamesViolatedRulesAndFaults(t *testing.T) {
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
			t.Errorf("%+v: broken %q, want %q", test.report, got, test.want)
		}
	}
}
