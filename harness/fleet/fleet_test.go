package fleet

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"otterseam/sim/scenario"
)

// buildPrograms builds the quota store as "keeper" and the api gateway without and with the seeded bugs, as "whole" and "seeded". It builds
// them once for all tests.
var buildPrograms = sync.OnceValues(func() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "fleet-"); err != nil {
		return "", err
	}
	builds := [][]string{
		{"-o", filepath.Join(dir, "keeper"), "otterseam/cmd/otterseam-quotastore"},
		{"-tags", "none", "-o", filepath.Join(dir, "whole"), "otterseam/cmd/otterseam"},
		{"-tags", "seeded", "-o", filepath.Join(dir, "seeded"), "otterseam/cmd/otterseam"},
	}
	for _, arguments := range builds {
		out, err := exec.Command("go", append([]string{"build"}, arguments...)...).CombinedOutput()
		if err != nil {
			return dir, fmt.Errorf("go build %v: %w\n%s", arguments, err, out)
		}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildPrograms(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// playSlots limit how many scripts run at once.
var playSlots = make(chan struct{}, 2)

// scriptPlay is a script to run, with changes to it.
type scriptPlay struct {
	name      string
	seed      uint64 // 0: 1
	program   string // of the api gateway; "": "whole"
	env       []string
	overrides []string // keys of the script, as KEY=VALUE
}

// load loads the script and applies its changes.
func (p *scriptPlay) load(t *testing.T) *scenario.Scenario {
	t.Helper()
	script, err := Load(p.name)
	if err != nil {
		t.Fatal(err)
	}
	for _, override := range p.overrides {
		key, value, _ := strings.Cut(override, "=")
		if err := script.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	return script
}

// play runs the script. A run that could not start is repeated once, since it shows nothing. The test fails if the second one can't start
// either.
func (p scriptPlay) play(t *testing.T) *Result {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	script := p.load(t)
	playSlots <- struct{}{}
	defer func() { <-playSlots }()
	result, reports, err := p.playOnce(t, script, dir)
	if err == nil {
		return result
	}
	t.Log("the run did not start:", err, reports)
	if result, reports, err = p.playOnce(t, script, dir); err != nil {
		t.Fatal(err, reports)
	}
	return result
}

func (p *scriptPlay) playOnce(t *testing.T, script *scenario.Scenario, dir string) (result *Result, reports []string, err error) {
	t.Helper()
	result, err = Play(context.Background(), script, max(p.seed, 1), Options{
		Gateway:    filepath.Join(dir, cmp.Or(p.program, "whole")),
		QuotaStore: filepath.Join(dir, "keeper"),
		Dir:        t.TempDir(),
		MemoryMB:   64,
		Env:        p.env,
		Report:     func(text string) { reports = append(reports, text) },
	})
	return result, reports, err
}

// operatorFile writes an operator file and returns the environment variable that names it.
func operatorFile(t *testing.T, text string) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return []string{"EDGE_OPERATOR=" + path}
}

// checkFailures reports all failures but those that a busy machine may cause: clients that gave up, and failures that contain excused.
func checkFailures(t *testing.T, r *Result, excused string) {
	t.Helper()
	for _, failure := range r.Broken {
		if !strings.Contains(failure.Text, "gave up") && !strings.Contains(failure.Text, excused) {
			t.Error(failure.Text, failure.Lines, failure.Faults)
		}
	}
}

// hasFailure reports whether the text of a failure contains text.
func hasFailure(r *Result, text string) bool {
	return slices.ContainsFunc(r.Broken, func(failure Failure) bool { return strings.Contains(failure.Text, text) })
}

// Each seeded bug must be detected by a script, with the failure that this bug causes.
func TestSeededBugsAreCaught(t *testing.T) {
	for _, test := range []struct{ bug, script, want string }{
		{"ResetCountsAsNeverRan", "reset-in-answer", "non-idempotent, is sent on again though"},
		{"DrainIgnored", "drain-told-in-flight", "rule 3"},
		{"AnswerDropped", "quiet", "got no final answer"},
		{"AnswerDuplicated", "quiet", "behind it"},
		{"CancelledConnectionReused", "host-slow", "was served with"},
		{"CancelledAttemptLeftInFlight", "host-mute", "two deliveries out at once"},
		{"AttemptOutlivesClient", "host-slow", "rule 1"},
		{"FailureAnsweredAsThrottled", "reset-in-answer", "is throttled though delivery"},
		{"SIGTERMCutsClients", "ended-under-load", "ended without an answer"},
		{"RequestDuplicated", "quiet", "rule 2"},
		{"AddressShared", "twice", "runs beside the first"},
		{"CounterResetPanics", "added-not-answered", "has ended by itself"},
	} {
		t.Run(test.bug, func(t *testing.T) {
			t.Parallel()
			overrides := []string{"length=3s"}
			switch test.script {
			case "twice": // leaves enough time to detect the second process
				overrides = []string{"length=5s"}
			case "ended-under-load": // work is still in progress when SIGTERM comes late
				overrides = append(overrides, "operation[0].work=40ms")
			}
			var failures []Failure
			for seed := range uint64(3) { // one detection is enough; a stall of the machine may hide the bug in one run
				r := scriptPlay{
					name:      test.script,
					seed:      seed + 1,
					program:   "seeded",
					env:       []string{"EDGE_SEEDED=" + test.bug},
					overrides: overrides,
				}.play(t)
				if hasFailure(r, test.want) {
					return
				}
				failures = append(failures, r.Broken...)
			}
			t.Errorf("%s was not detected in three runs: %v", test.bug, failures)
		})
	}
}

// Runs the scripts whose faults wait for an event, and those with process faults, against the unmodified program. No rule may be violated,
// and the faults must have been applied. Latency isn't checked, since the machine may be busy.
func TestScriptsBreakNoRules(t *testing.T) {
	for name, wantApplied := range map[string]int{
		"frozen": 2, "twice": 1, "full-disk": 6, "ended-under-load": 2, "killed": 1, "host-slow": 0,
		"drain-told-in-flight": 3, "added-not-answered": 3, "reset-in-answer": 3, "host-dropped": 3, "clients-cut": 2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := scriptPlay{name: name, overrides: []string{"length=4s"}}.play(t)
			checkFailures(t, r, "promised: served")
			if r.FaultsApplied < wantApplied {
				t.Errorf("%d faults were applied, want at least %d", r.FaultsApplied, wantApplied)
			}
			if served := r.Figures.Outcomes["served"]; served < r.Figures.Invocations/5 {
				t.Errorf("%.0f of %.0f invocations were served", served, r.Figures.Invocations)
			}
		})
	}
}

// Eight of twelve api gateways are killed while the counter is unavailable. With membership, the other four must detect that and serve
// requests that they would otherwise reject. Without membership they don't.
func TestMembershipAdjustsSharesAfterGatewaysFail(t *testing.T) {
	t.Parallel()
	var served [2]float64
	for i, env := range [][]string{nil, operatorFile(t, `{"membership":{"on":true}}`)} {
		r := scriptPlay{name: "eight-of-twelve", env: env}.play(t)
		served[i], _ = r.figure(scenario.Expectation{Kind: "served", From: scenario.Span{Lo: 8, Hi: 8}, Until: scenario.Span{Lo: 13, Hi: 13}})
		checkFailures(t, r, "promised")
		if off := i == 0; off != hasFailure(r, "membership: 4 of 12") {
			t.Errorf("on %v: %v", !off, r.Broken)
		}
	}
	if served[1] < 1.2*served[0] {
		t.Errorf("share served without and with membership: %.3f", served)
	}
}

// All hosts are silent for a while. With overload control, the deliveries of all api gateways together stay within the limit and service
// recovers, although two gateways can't reach any host and three restart without state. Without overload control, the limit is exceeded.
func TestOverloadControlBoundsDeliveriesInOutage(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{false, true} {
		env := operatorFile(t, fmt.Sprintf(`{"membership":{"on":true},"overload":{"on":%v}}`, on))
		r := scriptPlay{name: "outage-12", env: env}.play(t)
		checkFailures(t, r, "promised")
		if hasFailure(r, "promised: deliveries") == on || on && hasFailure(r, "promised: served") {
			t.Errorf("on %v: kept %v, broken %v", on, r.Kept, r.Broken)
		}
	}
}

// Two halves of the api gateways, whose datagrams to each other are dropped, must each give the other up and find it again once the
// partition has healed.
func TestMembershipRecoversAfterPartition(t *testing.T) {
	t.Parallel()
	r := scriptPlay{name: "mail-cut", env: operatorFile(t, `{"membership":{"on":true}}`)}.play(t)
	checkFailures(t, r, "promised: served")
}

// Each embedded script must load, and each kind of fault must be used by one of them.
func TestScriptsCoverAllFaultKinds(t *testing.T) {
	used := map[string]bool{}
	for _, n := range Names() {
		d, err := Load(n)
		if err != nil {
			t.Errorf("%s: %v", n, err)
			continue
		}
		if len(d.Expectations) == 0 || d.About == "" {
			t.Errorf("%s has no expectations or no description", n)
		}
		for _, s := range d.ProcessFaults {
			used[s.Kind] = true
		}
	}
	for _, k := range []string{
		"drop", "stall", "delay", "rate", "double", "disorder", "half-open", "reset", "refuse", "kill", "wipe", "freeze",
		"term", "twice", "full-disk", "starve",
	} {
		if !used[k] {
			t.Errorf("no script has the fault %s", k)
		}
	}
	if len(Names()) < 20 {
		t.Errorf("%d scripts", len(Names()))
	}
}

// An invalid script is rejected with an error that names the key. Nothing is started.
func TestInvalidScriptErrorNamesKey(t *testing.T) {
	good, err := scriptFiles.ReadFile("scripts/killed.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ from, to, want string }{
		{`kind = "kill"`, `kind = "rain"`, `fault[0].kind: "rain" is not known; there are drop, stall`},
		{`kind = "kill"`, `kind = "drop"`, `fault[0].from: "" is no end of a link`},
		{`on = "delivery"`, `on = "dawn"`, `fault[0].on: "dawn" is no event; there are taken`},
		{`edge = "1"`, `edge = "7"`, `fault[0].edge: "7": there are 3, from 0`},
		{`what = "runs"`, `what = "joy"`, `promise[1].what: "joy" is not known`},
		{`least = 3`, "least = 3\nmost = 1", `can't be kept`},
		{`base = "links-3"`, `base = "nowhere"`, `base: there is no day of that name to build on`},
		{`lasts = "1s"`, `lasts = 1`, `fault[0].lasts: 1 is not a time with its unit`},
	} {
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(good), test.from, test.to, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v\nwant %s", test.to, err, test.want)
		}
	}
	if _, err := Load("nonsense"); err == nil || !strings.Contains(err.Error(), "there are added-not-answered") {
		t.Error(err)
	}
}

// The page must contain its images and load nothing from elsewhere.
func TestPageEmbedsImages(t *testing.T) {
	r := scriptPlay{name: "killed", overrides: []string{"length=3s"}}.play(t)
	page, err := Page(r)
	if err != nil || strings.Count(string(page), "<svg") != 2 || strings.Contains(string(page), "src=") || !strings.Contains(string(page), "kill") {
		t.Errorf("%v, %d bytes", err, len(page))
	}
}
