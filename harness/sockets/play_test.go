package sockets

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"otterseam/harness/leakcheck"
	"otterseam/sim/metrics"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// buildGateway builds the api gateway as it stands.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "otterseam")
	if out, err := exec.Command("go", "build", "-o", path, "otterseam/cmd/otterseam").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// shortScenario is a scenario of 4 s with two api gateways and three hosts, with troubles and further values set.
func shortScenario(t *testing.T, troubles string, sets ...string) *scenario.Scenario {
	t.Helper()
	rough, err := scenarios.Load("rough-4")
	if err != nil {
		t.Fatal(err)
	}
	rough.Faults = nil
	d, err := scenario.Read("short.toml", []byte(rough.Text()+troubles))
	if err != nil {
		t.Fatal(err)
	}
	for _, set := range append([]string{"length=4s", "fleet.gateways=2", "fleet.hosts=3", "clients.rate=40/s"}, sets...) {
		key, value, _ := strings.Cut(set, "=")
		if err := d.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// A scenario with a restart and a killed api gateway: every invocation ends, nothing runs twice, nothing foreign is served, and the
// processes that were started are gone at the end. How fast answers come is not judged: the machine may be busy.
func TestScenarioWithAKilledGatewayKeepsTheRules(t *testing.T) {
	leakcheck.Check(t)
	d := shortScenario(t, "\n[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nlasts = \"300ms\"\npart = 0.5\n"+
		"\n[[trouble]]\nkind = \"errors\"\nat = \"500ms\"\nlasts = \"2s\"\nsize = 0.3\n")
	dir := t.TempDir()
	var reports []string
	results, w, err := Play(context.Background(), d, 3, Options{
		Gateway:  buildGateway(t),
		Dir:      dir,
		MemoryMB: 64,
		Report:   func(text string) { reports = append(reports, text) },
	})
	if err != nil {
		t.Fatal(err)
	}
	checkOutcomes(t, results)
	for _, violation := range w.Oracle.Violations {
		if violation.Rule != 1 || !strings.Contains(violation.Text, "gave up") {
			t.Error(violation)
		}
	}
	if len(reports) == 0 || !strings.Contains(reports[0], "api gateway") {
		t.Errorf("nobody was killed: %q", reports)
	}
	log, err := os.ReadFile(filepath.Join(dir, "edge-0.log"))
	if err != nil || !strings.Contains(string(log), `"ended"`) {
		t.Errorf("the api gateway did not end well: %v %s", err, log)
	}
}

// checkOutcomes wants many invocations, each with an outcome, and counter and hosts called.
func checkOutcomes(t *testing.T, results *metrics.Results) {
	t.Helper()
	ended := 0.0
	for _, count := range results.Outcomes {
		ended += count
	}
	if results.Invocations < 100 || ended != results.Invocations || results.Outcomes["served"] < results.Invocations/4 {
		t.Errorf("%.0f invocations, %.0f ended, %v", results.Invocations, ended, results.Outcomes)
	}
	if results.CounterCalls == 0 || results.Attempts == 0 {
		t.Error("neither counter nor hosts were called")
	}
}

func TestScenarioThatSocketsCannotPlayIsRefused(t *testing.T) {
	var unplayable *UnplayableError
	if err := Check(shortScenario(t, "\n[[trouble]]\nkind = \"starve\"\nat = \"1s\"\nlasts = \"1s\"\nsize = 0.5\n")); !errors.As(err, &unplayable) {
		t.Errorf("a trouble that sockets can't play was taken: %v", err)
	}
	big, err := scenarios.Load("calm-300")
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(big); !errors.As(err, &unplayable) || unplayable.Scenario != big.Name {
		t.Errorf("60,000 listeners were taken: %v", err)
	}
}

// An api gateway that does not come up ends the run with where its log is, and leaves no process.
func TestGatewayThatDoesNotStartEndsTheRun(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "bad")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho broken >&2\nexit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, _, err := Play(context.Background(), shortScenario(t, ""), 1, Options{Gateway: script, Dir: dir, MemoryMB: 64, Report: func(string) {}})
	if !errors.Is(err, ErrExited) || !strings.Contains(err.Error(), "does not come up") || !strings.Contains(err.Error(), dir) {
		t.Fatal(err)
	}
}
