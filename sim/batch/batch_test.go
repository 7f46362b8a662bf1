package batch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"otterseam/gateway/simadapter"
	"otterseam/sim/policies"
	"otterseam/sim/policyprocess"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
	"otterseam/sim/simulation"
)

// smallDay returns a day with few api gateways that runs quickly, with extra text appended to its file and with overrides KEY=VALUE.
func smallDay(t testing.TB, extra string, overrides ...string) *scenario.Scenario {
	t.Helper()
	base, err := scenarios.Load("calm-300")
	if err != nil {
		t.Fatal(err)
	}
	d, err := scenario.Read("small.toml", []byte(base.Text()+extra))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range append([]string{"length=12s", "fleet.gateways=4", "fleet.hosts=6", "clients.rate=150/s", "counter.capacity=2000/s"}, overrides...) {
		key, value, _ := strings.Cut(s, "=")
		if err := d.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func run(t testing.TB, d *scenario.Scenario, decider string) *Run {
	t.Helper()
	r, _, err := RunOne(Plan{Day: d, Decider: decider, Seed: 5})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSameSeedGivesSameBytes checks that the same day and seed give the same bytes for any number of workers.
func TestSameSeedGivesSameBytes(t *testing.T) {
	d := smallDay(t, fault("kill", "0.5", "1", "2s")+fault("move", "0.5", "1", "0s"))
	var plans []Plan
	for seed := range uint64(6) {
		plans = append(plans, Plan{Day: d, Decider: "module", Seed: seed})
	}
	var expected [][]byte
	for _, workers := range []int{1, 5} {
		runs, err := RunAll(context.Background(), plans, workers, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range runs {
			if workers == 1 {
				expected = append(expected, r.Encode())
			} else if !bytes.Equal(expected[i], r.Encode()) {
				t.Fatalf("seed %d differs between one worker and five", i)
			}
		}
	}
	if bytes.Equal(expected[0], expected[1]) {
		t.Fatal("two seeds gave the same results")
	}
}

// TestProgramDecidesTheSameAsModule checks that the module gives the same results over the line protocol as called directly.
func TestProgramDecidesTheSameAsModule(t *testing.T) {
	d := smallDay(t, fault("kill", "0.5", "1", "2s")+fault("counter-silent", "1", "1", "2s"), "peers.allowed=true")
	direct := run(t, d, "module")
	input, inputWriter := io.Pipe()
	outputReader, output := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- simadapter.Run(input, output) }()
	simulated := simulation.New(d, 5, policyprocess.Attach("module", inputWriter, outputReader, func() error { return nil }))
	results, err := simulated.Run()
	if err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(results.Encode(), direct.Encode()) {
		t.Fatalf("the results differ: worth %.6f directly, %.6f by the line protocol", direct.Score(), results.Score())
	}
}

// TestFaultyProgramsEndTheRun checks that a program that exits or sends an invalid reply ends the run with an error that holds its path
// and its last line.
func TestFaultyProgramsEndTheRun(t *testing.T) {
	d := smallDay(t, "")
	for script, want := range map[string]string{
		"exit 0":                                "has ended in the middle of the day",
		"read x; echo nonsense; cat >/dev/null": `"nonsense"`,
		"read x; echo '{\"gateways\":[{\"who\":9,\"cmds\":[]}]}'; cat >/dev/null":                         "api gateway 9",
		"read x; echo '{\"gateways\":[{\"who\":0,\"cmds\":[[\"SOUND_OUT\",\"h\"]]}]}'; cat >/dev/null":    "SOUND_OUT",
		"read x; echo '{\"gateways\":[{\"who\":0,\"cmds\":[[\"FAULT\",\"panic: x\"]]}]}'; cat >/dev/null": "panic: x",
	} {
		path := filepath.Join(t.TempDir(), "program")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		_, _, err := RunOne(Plan{Day: d, Decider: "wire:" + path, Seed: 1})
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", script, err)
		}
	}
}

// fault returns the text of a fault that begins at 3 s, for a day's file.
func fault(kind, part, size, lasts string) string {
	return "\n[[trouble]]\nkind = \"" + kind + "\"\nat = \"3s\"\npart = " + part + "\nsize = " + size + "\nlasts = \"" + lasts +
		"\"\noperation = \"" + map[bool]string{true: "search", false: ""}[kind == "operation-silent"] + "\"\n"
}

// during returns the mean of a figure over the seconds from 3 to 7, in which a fault of 4 s lasts.
func during(figure func(r *Run, second int) float64) func(r *Run) float64 {
	return func(r *Run) float64 {
		sum := 0.0
		for second := 3; second < 7; second++ {
			sum += figure(r, second)
		}
		return sum / 4
	}
}

// Figures that the faults are expected to change.
var (
	p50             = during(func(r *Run, i int) float64 { return r.Seconds[i].P50 })
	counterFailures = during(func(r *Run, i int) float64 { return r.Seconds[i].CounterCallsFailed })
)

func loss(r *Run) float64 { return 1 - r.Total.Fraction(r.Total.Served) }

func dials(r *Run) float64 { return r.Dials }

// events returns the number of events, which differs after almost any change of the run.
func events(r *Run) float64 { return float64(r.Events) }

func attemptsPerInvocation(r *Run) float64 { return r.Attempts / r.Invocations }

type faultCase struct {
	kind, part, size, decider string
	figure                    func(r *Run) float64
	minRatio                  float64  // least ratio of the figure with the fault to that of the calm day; 0: the two must differ
	background                []string // kinds of faults that must be active in both runs for the fault to have an effect
}

// faultCases holds a figure that each kind of fault changes.
var faultCases = []faultCase{
	{"slow", "1", "3", "random", p50, 1.8, nil},
	{"silent", "0.5", "1", "random", loss, 2, nil},
	{"vanish", "0.5", "1", "random", loss, 2, nil},
	{"operation-silent", "1", "1", "random", loss, 1.5, nil},
	{"errors", "1", "0.9", "random", attemptsPerInvocation, 1.2, nil},
	{"spoilt", "1", "0.9", "random", attemptsPerInvocation, 1.2, nil},
	{"refuse", "1", "0.002", "random", attemptsPerInvocation, 1.005, nil},
	{"replace", "1", "1", "random", func(r *Run) float64 { return -r.Seconds[11].HostsUp }, 0, nil},
	{"grow", "1", "1", "random", during(func(r *Run, i int) float64 { return r.Seconds[i].HostsUp }), 1.8, nil},
	{"reset", "1", "0.8", "random", dials, 1.3, nil},
	{"delay", "1", "30", "random", p50, 1.3, nil},
	{"cut", "0.4", "1", "random", loss, 1.5, nil},
	{"half-open", "1", "0.8", "random", loss, 1.5, nil},
	{"counter-silent", "1", "1", "design", counterFailures, 5, nil},
	{"counter-refuse", "1", "1", "design", counterFailures, 5, nil},
	{"counter-small", "1", "0.02", "design", counterFailures, 5, nil},
	{"counter-drop", "1", "0.1", "design", counterFailures, 5, nil},
	{"counter-split", "0.5", "1", "design", func(r *Run) float64 { return r.Total.BeyondQuota }, 1.02, nil},
	{"counter-takeover", "1", "1", "design", counterFailures, 5, nil},
	{"counter-replaced", "1", "1", "design", func(r *Run) float64 { return r.Total.BeyondQuota }, 1.02, nil},
	{"list-late", "1", "20", "random", loss, 1.02, []string{"replace"}},
	{"list-silent", "1", "1", "random", events, 0, []string{"replace"}},
	{"list-wrong", "0.7", "1", "random", p50, 1.2, nil},
	{"mail-loss", "1", "1", "module", events, 0, []string{"silent"}},
	{"burst", "1", "4", "random", during(func(r *Run, i int) float64 { return r.Seconds[i].FirstInvocations }), 3, nil},
	{"gather", "1", "1", "share", func(r *Run) float64 { return r.Total.ThrottledWithRoom }, 1.05, nil},
	{"move", "0.9", "1", "module", events, 0, nil},
	{"ignore", "1", "5", "share", func(r *Run) float64 { return r.Invocations / r.FirstInvocations }, 1.1, nil},
	{"impatient", "1", "0.1", "random", loss, 1.2, nil},
	{"kill", "1", "1", "random", during(func(r *Run, i int) float64 { return 4.01 - r.Seconds[i].GatewaysAlive }), 10, nil},
	{"restart", "1", "1", "random", dials, 1.1, nil},
	{"starve", "1", "0.002", "random", p50, 1.3, nil},
}

// TestEachFaultHasAnEffect checks that each fault changes the figure of its case. A fault that does nothing leaves the figure of the calm
// day, which the bound excludes.
func TestEachFaultHasAnEffect(t *testing.T) {
	for _, each := range faultCases {
		base := ""
		for _, kind := range each.background {
			base += fault(kind, "0.7", "1", "3s")
		}
		calm := each.figure(run(t, smallDay(t, base), each.decider))
		faulty := each.figure(run(t, smallDay(t, base+fault(each.kind, each.part, each.size, "4s")), each.decider))
		if each.minRatio == 0 && faulty == calm || each.minRatio > 0 && faulty < each.minRatio*calm {
			t.Errorf("%s: %.4g on the calm day, %.4g with it, wanted %.2f times as much", each.kind, calm, faulty, each.minRatio)
		}
	}
	for _, kind := range scenario.FaultKinds {
		if !slices.ContainsFunc(faultCases, func(c faultCase) bool { return c.kind == kind.Name }) {
			t.Errorf("no case for the fault %s", kind.Name)
		}
	}
}

// TestCounterRestoresState checks that a counter that comes back empty admits more beyond the quotas than one that kept its counts,
// because each customer gets its burst again.
func TestCounterRestoresState(t *testing.T) {
	beyond := map[string]float64{}
	for _, back := range []string{"kept", "empty"} {
		d := smallDay(t, fault("counter-silent", "1", "1", "500ms")+"back = \""+back+"\"\n", "clients.over=0.6")
		beyond[back] = run(t, d, "design").Total.BeyondQuota
	}
	if beyond["empty"] < 1.05*beyond["kept"] {
		t.Errorf("beyond the quotas: %.0f with a kept counter, %.0f with an empty one", beyond["kept"], beyond["empty"])
	}
}

// TestModuleKeepsTheRules runs the module on a day of overlapping faults, one of which begins as another ends.
func TestModuleKeepsTheRules(t *testing.T) {
	d := smallDay(t, fault("reset", "1", "0.3", "3s")+fault("kill", "0.5", "1", "2s")+fault("replace", "0.5", "1", "3s")+
		strings.Replace(fault("counter-silent", "1", "1", "3s"), `at = "3s"`, `at = "6s"`, 1)+fault("half-open", "1", "0.2", "5s"))
	for seed := range uint64(8) {
		r, _, err := RunOne(Plan{Day: d, Decider: "module", Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		if r.ViolationCount > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
	}
}

// TestSavedResultsAreLoaded checks that saved results can be loaded, and that the error for a file without results names the file.
func TestSavedResultsAreLoaded(t *testing.T) {
	dir := t.TempDir()
	r := run(t, smallDay(t, "", "length=2s"), "random")
	path := filepath.Join(dir, "r.json")
	if err := Save(path, []*Run{r}); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(path)
	if err != nil || loaded[0].Total != r.Total || loaded[0].Gateways != 4 {
		t.Fatal(err, loaded)
	}
	if err := os.WriteFile(path, []byte("[null]"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrNoResults) || !strings.Contains(err.Error(), path) {
		t.Fatal(err)
	}
	if CheckWritable(filepath.Join(dir, "none", "r.json")) == nil {
		t.Fatal("CheckWritable accepted a file in a missing folder")
	}
}

func benchmarkDay(b *testing.B, gateways, hosts string) {
	d := smallDay(b, "", "length=3s", "fleet.gateways="+gateways, "fleet.hosts="+hosts, "clients.rate=2000/s", "counter.capacity=20000/s")
	b.ReportAllocs()
	for range b.N {
		source, _ := policies.New("module")
		simulated := simulation.New(d, 1, source)
		results, err := simulated.Run()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(results.Events), "ns/event")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/results.Invocations, "ns/try")
	}
}

// The day benchmarks run the same load with 30, 300 and 1000 api gateways and 50 hosts, and so measure the cost of size alone.
func BenchmarkDay30(b *testing.B)   { benchmarkDay(b, "30", "50") }
func BenchmarkDay300(b *testing.B)  { benchmarkDay(b, "300", "50") }
func BenchmarkDay1000(b *testing.B) { benchmarkDay(b, "1000", "50") }
