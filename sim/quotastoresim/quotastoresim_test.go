package quotastoresim

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// All guarantees hold while streams break, machines are lost with their disks, processes are suspended and clocks differ by minutes.
// These are some of the thousands of seeds that are run outside CI, among them those that once found a fault.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	all := []uint64{1160, 2707, 4394, 6050, 50121, 50274, 50535, 100414, 100511}
	for seed := range uint64(60) {
		all = append(all, seed)
	}
	for _, seed := range all {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			v := RunSeed(seed, OptionsForSeed(seed, 10))
			if !v.OK() || v.Undecided > 0 || v.Answered < 20 {
				t.Error(v)
			}
		})
	}
}

// A seed always gives the same run, so that a fault can be reproduced from its seed.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	logged := func() (all []string) {
		o := OptionsForSeed(7, 8)
		o.OnLogLine = func(at float64, _ int, line string) {
			all = append(all, strconv.FormatFloat(at, 'g', -1, 64)+line)
		}
		RunSeed(7, o)
		return all
	}
	a, b := logged(), logged()
	if len(a) < 10 || strings.Join(a, "\n") != strings.Join(b, "\n") {
		t.Fatalf("runs of the same seed differ; they logged %d and %d lines", len(a), len(b))
	}
}

// Without faults no call is rejected or has an unknown outcome.
func TestNothingIsRejectedWithoutFaults(t *testing.T) {
	v := RunSeed(3, Options{Servers: 3, Replicas: 3, Durable: true, FaultSeconds: 8, NoFaults: true})
	if !v.OK() || v.Rejected+v.Unknown > 0 || v.Answered < 100 {
		t.Fatal(v)
	}
}

// Each of eleven defects that are injected into the program is detected.
func TestInjectedDefectsAreDetected(t *testing.T) {
	program := filepath.Join(t.TempDir(), "otterseam-sim")
	if out, err := exec.Command("go", "build", "-tags", "seeded", "-o", program, "otterseam/cmd/otterseam-sim").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, name := range []string{
		"LeaderUsesLocalClock", "LeaderAcksBeforeCommit", "ReplicaSendsBeforeSync", "LostDiskKeepsIncarnation", "RetryOutsideSession", "SnapshotDropsSessions",
		"RecoveredUsageAddedTwice", "ExpiredHolderNotFenced", "ExpiredHolderKeepsSlots", "MarkerGrantedTwice", "BatchTakenAgain",
	} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.CommandContext(context.Background(), program, "keepers", "--seeds", "400", "--first")
			cmd.Env = append(os.Environ(), "EDGE_SEEDED="+name)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), "promised and lost") {
				t.Fatalf("400 seeds did not detect the defect: %v\n%s", err, out)
			}
		})
	}
}
