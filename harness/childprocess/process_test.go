package childprocess

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	// startLimit is the time limit for the first output of a script.
	startLimit = 5 * time.Second
	// countingScript repeatedly appends to its log and to a file in its folder. On SIGTERM it prints a last line and exits with 0.
	countingScript = "trap 'echo bye; exit 0' TERM\nwhile true; do echo tick; echo x >> f; sleep 0.01; done\n"
)

// startScript starts a shell script as a child process and stops it at the end of the test.
func startScript(t *testing.T, text string) *Process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "script")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o755); err != nil {
		t.Fatal(err)
	}
	p, err := Start(path, "one", dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Stop() }) // most tests have stopped the process already
	return p
}

// startCounting starts countingScript and waits for its first output.
func startCounting(t *testing.T) *Process {
	t.Helper()
	p := startScript(t, countingScript)
	if !logGrows(p, startLimit) {
		t.Fatal("the script printed nothing")
	}
	return p
}

func logSize(p *Process) int64 {
	info, err := os.Stat(p.LogPath)
	if err != nil {
		return 0
	}
	return info.Size()
}

// logGrows reports whether the log grows within the given time.
func logGrows(p *Process, within time.Duration) bool {
	before := logSize(p)
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if logSize(p) > before {
			return true
		}
	}
	return false
}

func TestSuspendedProcessRunsOnlyAfterAsManyResumes(t *testing.T) {
	p := startCounting(t)
	p.Suspend()
	p.Suspend()
	time.Sleep(50 * time.Millisecond)
	if logGrows(p, 200*time.Millisecond) {
		t.Error("the process runs while it is suspended")
	}
	p.Resume()
	if logGrows(p, 100*time.Millisecond) {
		t.Error("the process runs after one Resume for two calls of Suspend")
	}
	p.Resume()
	if !logGrows(p, startLimit) {
		t.Error("the process does not continue")
	}
}

func TestFileSizeLimitStopsGrowthUntilRemoved(t *testing.T) {
	p := startScript(t, "trap '' XFSZ\n"+countingScript)
	if !logGrows(p, startLimit) {
		t.Fatal("the script printed nothing")
	}
	const limit = 20
	if err := p.LimitFileSize(limit); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(startLimit); logSize(p) < limit; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the log has %d bytes and does not reach the limit", logSize(p))
		}
	}
	time.Sleep(50 * time.Millisecond)
	if logGrows(p, 200*time.Millisecond) {
		t.Error("the log grows beyond the limit")
	}
	if err := p.LimitFileSize(-1); err != nil {
		t.Fatal(err)
	}
	if !logGrows(p, startLimit) {
		t.Error("the log does not grow after the limit was removed")
	}
}

func TestStopTerminatesASuspendedProcessWithSIGTERM(t *testing.T) {
	p := startCounting(t)
	p.Suspend()
	if err := p.Stop(); err != nil {
		t.Error(err)
	}
	log, err := os.ReadFile(p.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(log), "bye\n") {
		t.Error("the process did not handle SIGTERM before it exited")
	}
}

func TestKilledProcessExitsAsRequestedAndKeepsItsFolder(t *testing.T) {
	p := startCounting(t)
	p.Kill()
	<-p.Done()
	if exited, requested, err := p.ExitState(); !exited || !requested || err == nil {
		t.Errorf("after Kill: exited %v, requested %v, error %v", exited, requested, err)
	}
	if _, err := os.Stat(p.Dir); err != nil {
		t.Error(err)
	}
	if err := p.RemoveDir(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(p.Dir); !errors.Is(err, os.ErrNotExist) {
		t.Error("the working folder still exists")
	}
}

func TestExitWithoutStopIsNotRequested(t *testing.T) {
	p := startScript(t, "exit 3")
	<-p.Done()
	if _, requested, err := p.ExitState(); requested || err == nil {
		t.Errorf("exited without a request: requested %v, error %v", requested, err)
	}
	if err := p.LimitFileSize(5); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("LimitFileSize on an exited process: %v", err)
	}
}

func TestProcessThatIgnoresTerminateIsKilledAndReported(t *testing.T) {
	p := startScript(t, "trap '' TERM\necho up\nwhile true; do sleep 0.05; done\n")
	logGrows(p, startLimit)
	var timeout *StopTimeoutError
	if err := p.Stop(); !errors.As(err, &timeout) || timeout.Name != "one" {
		t.Errorf("want a StopTimeoutError: %v", err)
	}
	if exited, _, _ := p.ExitState(); !exited {
		t.Error("the process still runs")
	}
}
