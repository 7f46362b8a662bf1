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
	settleTimeout  = 3 * time.Second // for goroutines and connections that are about to end
	pollInterval   = 5 * time.Millisecond
	stackDumpBytes = 64 << 10
	descriptorDir  = "/proc/self/fd"
)

// checkedTests holds the tests that have a check already.
var checkedTests = struct {
	sync.Mutex
	running map[testing.TB]bool
}{running: map[testing.TB]bool{}}

// Check fails the test if, after its cleanup, more goroutines run or more file descriptors are open than now. Call it before
// anything that may leak is made. A helper may call it as well: the first call of a test counts, later ones do nothing.
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
			t.Errorf("%d goroutines where %d were, %d descriptors where %d were: %s\n%s", after.goroutines, before.goroutines,
				after.descriptors, before.descriptors, strings.Join(openDescriptors(), ", "), goroutineStacks())
		}
	})
}

// beginCheck tells whether this is the first check of a test.
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

// openPoller has the runtime open the descriptors that it keeps for all sockets, so that they aren't taken for a leak.
func openPoller() {
	if listener, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
		listener.Close()
	}
}

// usage counts what a process holds.
type usage struct{ goroutines, descriptors int }

func takeUsage() usage {
	return usage{goroutines: runtime.NumGoroutine(), descriptors: len(openDescriptors())}
}

// waitUntilSettled waits until no more is held than before. If that doesn't come, it gives the last usage and true.
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

// openDescriptors gives what each open descriptor refers to, without the one that reads the table. Where the system has no such
// table it is empty, and only goroutines are checked.
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
