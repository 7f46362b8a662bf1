package tiersoak

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	seedVariable     = "SOAK_SEED"  // the first seed
	seedsVariable    = "SOAK_SEEDS" // number of seeds
	durationVariable = "SOAK_SECONDS"
	largeVariable    = "SOAK_LARGE"   // every how many seeds have many front machines; 0: none
	programVariable  = "SOAK_PROGRAM" // path of another build of otterseam-tier

	// networksOfTest is the number of networks of each of the three tests, which may run at the same time.
	networksOfTest = 80

	defaultSeeds    = 1
	defaultDuration = 45 // seconds
)

var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if program = os.Getenv(programVariable); program != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "tiersoak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if program, err = tiercluster.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// number returns the value of an environment variable, or another number if it is not set.
func number(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return value
}

// playSeeds plays a run for each seed that the environment asks for, and checks that no promise was broken. firstNetwork is the first of the
// networks of the runs.
func playSeeds(t *testing.T, options Options, firstNetwork int, check func(t *testing.T, report Report)) {
	t.Helper()
	first := number(t, seedVariable, 1)
	large := number(t, largeVariable, 0)
	for i := range number(t, seedsVariable, defaultSeeds) {
		seed := first + i
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			run := options
			run.Program = program
			run.Dir = t.TempDir()
			run.Network = firstNetwork + i%networksOfTest
			run.ProcessID = os.Getpid()
			run.Seed = uint64(seed)
			run.Duration = time.Duration(number(t, durationVariable, defaultDuration)) * time.Second
			run.Large = large > 0 && seed%large == 0
			report, err := Run(run)
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Violations) > 0 {
				t.Errorf("violations: %q\nfaults: %q\ncrowds: %q\nfloods: %q", report.Violations, report.Faults, report.Crowds, report.Floods)
			}
			check(t, report)
		})
	}
}

// Guards against answered turns that are lost, above all those that outlived the chain that they continue, under faults that come in
// series and overlap. SOAK_SEEDS and SOAK_SECONDS make it a long run: make soak.
func TestAnsweredTurnsSurviveOverlappingFaults(t *testing.T) {
	playSeeds(t, Options{}, 1, func(t *testing.T, report Report) {
		t.Logf("%d turns answered, %d continued another one, %d outlived its retention; %d tries rejected, of them %d expired; %d other turns, %d faults",
			report.Answered, report.Continued, report.Outlived, report.Rejected, report.Expired, report.Others, len(report.Faults))
		if report.Outlived == 0 {
			t.Error("no turn outlived the chain that it continues")
		}
	})
}

// Guards against processes that end, hang or leave their limits, and against answered turns that are lost, while all kinds of clients that
// don't behave come and go beside the faults. SOAK_SEEDS and SOAK_SECONDS make it a long run: make soak-crowds.
func TestProcessesSurviveCrowds(t *testing.T) {
	playSeeds(t, Options{Crowds: true}, 1+networksOfTest, func(t *testing.T, report Report) {
		t.Logf("%d turns answered, %d continued another one; %d tries rejected; %d other turns, %d faults, %d crowds",
			report.Answered, report.Continued, report.Rejected, report.Others, len(report.Faults), len(report.Crowds))
		if report.Continued == 0 {
			t.Error("no turn that continues another one was answered")
		}
	})
}

// Guards against processes that end, hang or leave their limits, and against answered turns that are lost, while hosts send heads, bodies and
// events without end beside the faults. SOAK_SEEDS and SOAK_SECONDS make it a long run: make soak-floods.
func TestProcessesSurviveFloodingHosts(t *testing.T) {
	playSeeds(t, Options{Floods: true}, 1+2*networksOfTest, func(t *testing.T, report Report) {
		t.Logf("%d turns answered, %d continued another one; %d tries rejected; %d plain requests answered, %d faults, %d floods",
			report.Answered, report.Continued, report.Rejected, report.Plain, len(report.Faults), len(report.Floods))
		if report.Continued == 0 || report.Plain == 0 {
			t.Error("no turn that continues another one was answered, or no plain request")
		}
	})
}

// The oracle has to notice each kind of broken promise.
func TestHistoryNoticesViolations(t *testing.T) {
	first := turn{program: "p", input: "one ", events: 1}
	const complete = "id: 1\ndata: e1\n\n"
	for name, test := range map[string]struct {
		second     outcome
		age        time.Duration // of the first turn when the second ends
		executions []tierhost.Execution
		violations int
	}{
		"kept":             {outcome{200, complete, nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}, {RequestID: "00000002", Body: "one e1\ntwo"}}, 0},
		"lost":             {outcome{404, "", nil}, retention - time.Second, []tierhost.Execution{{RequestID: "00000001", Body: "one "}}, 1},
		"expired":          {outcome{404, "", nil}, retention + time.Second, []tierhost.Execution{{RequestID: "00000001", Body: "one "}}, 0},
		"budget":           {outcome{402, "", nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}}, 1},
		"unavailable":      {outcome{503, "", nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}}, 0},
		"cut":              {outcome{200, "id", errors.New("cut")}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}}, 0},
		"short answer":     {outcome{200, "", nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}, {RequestID: "00000002", Body: "one e1\ntwo"}}, 1},
		"without chain":    {outcome{200, complete, nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}, {RequestID: "00000002", Body: "two"}}, 1},
		"executed twice":   {outcome{502, "", nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}, {RequestID: "00000001", Body: "one "}}, 1},
		"never executed":   {outcome{200, complete, nil}, 0, []tierhost.Execution{{RequestID: "00000002", Body: "one e1\ntwo"}}, 1},
		"of other clients": {outcome{503, "", nil}, 0, []tierhost.Execution{{RequestID: "00000001", Body: "one "}, {RequestID: "other", Body: "x"}}, 0},
	} {
		h := newHistory()
		sent := first
		h.begin(&sent)
		previous := h.end(&sent, outcome{200, complete, nil})
		previous.at = previous.at.Add(-test.age)
		second := turn{program: "p", input: "two", events: 1, previous: previous}
		h.begin(&second)
		h.end(&second, test.second)
		violations := slices.Concat(h.report().Violations, h.checkExecutions(test.executions))
		if len(violations) != test.violations {
			t.Errorf("%s: %q", name, violations)
		}
	}
}
