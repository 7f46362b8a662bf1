package leakcheck

import (
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	settleTimeout  = 3 * time.Second // time for goroutines and connections to end
	pollInterval   = 5 * time.Millisecond
	stackDumpBytes = 64 << 10
	descriptorDir  = "/proc/self/fd"
)

// checkedTests holds the running tests that have a check already.
var checkedTests = struct {
	sync.Mutex
	running map[testing.TB]bool
}{running: map[testing.TB]bool{}}

// Check fails the test if more goroutines run or more file descriptors are open after its cleanup than at the call of Check. Call
// it before creating anything that may leak. Helpers may call it too, since only the first call in a test has an effect.
func Check(t testing.TB) {
	t.Helper()
	if !beginCheck(t) {
		return
	}
	openPoller()
	before := takeUsage()
	t.Cleanup(func() {
		endCheck(t)
		if after, leaked := waitUntilSettled(before); leaked {
			t.Errorf("%d goroutines, %d before the test; %d descriptors, %d before the test: %s\n%s", after.goroutines, before.goroutines,
				after.descriptors, before.descriptors, strings.Join(openDescriptors(), ", "), goroutineStacks())
		}
	})
}

// beginCheck records that a test has a check. It returns false if the test had one already.
func beginCheck(t testing.TB) bool {
	checkedTests.Lock()
	defer checkedTests.Unlock()
	if checkedTests.running[t] {
		return false
	}
	checkedTests.running[t] = true
	return true
}

func endCheck(t testing.TB) {
	checkedTests.Lock()
	defer checkedTests.Unlock()
	delete(checkedTests.running, t)
}

// openPoller makes the runtime open the descriptors of its network poller, which stay open, so that they aren't counted as a leak.
func openPoller() {
	if listener, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
		listener.Close()
	}
}

// usage is the number of goroutines and open descriptors of the process.
type usage struct{ goroutines, descriptors int }

func takeUsage() usage {
	return usage{goroutines: runtime.NumGoroutine(), descriptors: len(openDescriptors())}
}

// waitUntilSettled waits until the usage is not above before. If it still is after settleTimeout, it returns the last usage and
// true.
func waitUntilSettled(before usage) (after usage, leaked bool) {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		after = takeUsage()
		if after.goroutines <= before.goroutines && after.descriptors <= before.descriptors {
			return after, false
		}
	}
	return after, true
}

func goroutineStacks() []byte {
	stacks := make([]byte, stackDumpBytes)
	return stacks[:runtime.Stack(stacks, true)]
}

// openDescriptors returns the target of each open descriptor except the one used to read descriptorDir. On systems without that
// folder the result is empty, and only goroutines are checked.
func openDescriptors() []string {
	table, err := os.Open(descriptorDir)
	if err != nil {
		return nil
	}
	defer table.Close()
	names, err := table.Readdirnames(-1)
	if err != nil {
		return nil
	}
	var targets []string
	for _, name := range names {
		target, err := os.Readlink(filepath.Join(descriptorDir, name))
		if err == nil && !strings.HasSuffix(target, "/fd") {
			targets = append(targets, target)
		}
	}
	return targets
}
