package misbehavior

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"otterseam/harness/childprocess"
	"otterseam/harness/tiercluster"
)

// enableVariable has to be set for the tests of processes, which run one at a time and apart from other load: make misbehavior.
const enableVariable = "MISBEHAVIOR_TESTS"

// programs holds the paths of the programs under test.
var programs struct{ tier, gateway, quotaStore string }

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if os.Getenv(enableVariable) == "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "misbehavior")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	for name, path := range map[string]*string{
		"otterseam-tier": &programs.tier, "otterseam": &programs.gateway, "otterseam-quotastore": &programs.quotaStore,
	} {
		*path = filepath.Join(dir, name)
		if out, err := exec.Command("go", "build", "-o", *path, "otterseam/cmd/"+name).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
	}
	return m.Run()
}

func requireEnabled(t *testing.T) {
	t.Helper()
	if os.Getenv(enableVariable) == "" {
		t.Skipf("runs apart from other tests, with %s=1: make misbehavior", enableVariable)
	}
}

// summary describes a response for the message of a failed check.
func summary(got tiercluster.Response) string {
	return fmt.Sprintf("status %d, %v, body %.200q", got.Status, got.Err, got.Body)
}

// checkAlive checks that a process has not ended.
func checkAlive(t *testing.T, process *childprocess.Process) {
	t.Helper()
	if exited, _, err := process.ExitState(); exited {
		t.Errorf("%s has ended: %v", process.Name, err)
	}
}

// checkMemory checks that a process is alive and that its peak memory is within a bound in MB.
func checkMemory(t *testing.T, process *childprocess.Process, bound int) {
	t.Helper()
	checkAlive(t, process)
	peak, err := PeakMemoryMB(process.PID())
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("%s: peak memory %d MB, bound %d MB", process.Name, peak, bound)
	if peak > bound {
		t.Errorf("%s: peak memory is %d MB, bound %d MB", process.Name, peak, bound)
	}
}

// checkPeak checks the peak that a sampler recorded.
func checkPeak(t *testing.T, name string, sampler *Sampler, bound int) {
	t.Helper()
	peak, err := sampler.Stop()
	if err != nil {
		t.Errorf("%s: %v", name, err)
	}
	t.Logf("%s: peak %d, bound %d", name, peak, bound)
	if peak > bound {
		t.Errorf("%s: peak is %d, bound %d", name, peak, bound)
	}
}
