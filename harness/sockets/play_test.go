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

// buildGateway builds the api gateway from the current source and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "otterseam")
	if out, err := exec.Command("go", "build", "-o", path, "otterseam/cmd/otterseam").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// shortScenario returns a scenario of 4 s with two api gateways and three hosts. It appends troubles to the scenario's text and applies sets,
// each KEY=VALUE.
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

// In a scenario where an api gateway is killed and restarted, every invocation ends, nothing runs twice, no foreign content is served, and
// all started processes have exited at the end. Violations of client deadlines are ignored, since the machine may be busy.
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
		t.Errorf("no api gateway was killed: %q", reports)
	}
	log, err := os.ReadFile(filepath.Join(dir, "edge-0.log"))
	if err != nil || !strings.Contains(string(log), `"ended"`) {
		t.Errorf("the api gateway did not shut down cleanly: %v %s", err, log)
	}
}

// checkOutcomes checks that there were many invocations, each with an outcome, and calls to the counter and the hosts.
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
		t.Error("the counter or the hosts were not called")
	}
}

func TestScenarioThatSocketsCannotPlayIsRefused(t *testing.T) {
	var unplayable *UnplayableError
	if err := Check(shortScenario(t, "\n[[trouble]]\nkind = \"starve\"\nat = \"1s\"\nlasts = \"1s\"\nsize = 0.5\n")); !errors.As(err, &unplayable) {
		t.Errorf("a fault that sockets can't play was not rejected with an UnplayableError: %v", err)
	}
	big, err := scenarios.Load("calm-300")
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(big); !errors.As(err, &unplayable) || unplayable.Scenario != big.Name {
		t.Errorf("60,000 listeners were not rejected with an UnplayableError: %v", err)
	}
}

// If an api gateway fails to start, the run ends with an error that has the folder of its log, and no process is left.
func TestGatewayThatDoesNotStartEndsTheRun(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "bad")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho broken >&2\nexit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, _, err := Play(context.Background(), shortScenario(t, ""), 1, Options{Gateway: script, Dir: dir, MemoryMB: 64, Report: func(string) {}})
	if !errors.Is(err, ErrExited) || !strings.Contains(err.Error(), "failed to start") || !strings.Contains(err.Error(), dir) {
		t.Fatal(err)
	}
}
