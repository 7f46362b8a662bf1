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
	// startLimit is how long a script may take until it prints.
	startLimit = 5 * time.Second
	// countingScript counts in its folder and in its log, and takes leave on SIGTERM.
	countingScript = "trap 'echo bye; exit 0' TERM\nwhile true; do echo tick; echo x >> f; sleep 0.01; done\n"
)

// startScript starts a shell script as a child process.
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
	t.Cleanup(func() { _ = p.Stop() }) // most have been stopped by their test
	return p
}

// startCounting starts countingScript and waits until it counts.
func startCounting(t *testing.T) *Process {
	t.Helper()
	p := startScript(t, countingScript)
	if !logGrows(p, startLimit) {
		t.Fatal("it does not run")
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

// logGrows tells whether the log grows within a time.
func logGrows(p *Process, within time.Duration) bool {
	before := logSize(p)
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if logSize(p) > before {
			return true
		}
	}
	return false
}

func TestSuspendedProcessStandsStillUntilResumedAsOften(t *testing.T) {
	p := startCounting(t)
	p.Suspend()
	p.Suspend()
	time.Sleep(50 * time.Millisecond)
	if logGrows(p, 200*time.Millisecond) {
		t.Error("it runs though it is suspended")
	}
	p.Resume()
	if logGrows(p, 100*time.Millisecond) {
		t.Error("it runs though it was resumed once of two times")
	}
	p.Resume()
	if !logGrows(p, startLimit) {
		t.Error("it does not go on")
	}
}

func TestFilesStopGrowingAtTheLimitAndGoOnWithoutIt(t *testing.T) {
	p := startScript(t, "trap '' XFSZ\n"+countingScript)
	if !logGrows(p, startLimit) {
		t.Fatal("it does not run")
	}
	if err := p.LimitFileSize(20); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if logGrows(p, 200*time.Millisecond) {
		t.Error("its log grows over the limit")
	}
	if err := p.LimitFileSize(-1); err != nil {
		t.Fatal(err)
	}
	if !logGrows(p, startLimit) {
		t.Error("it does not go on")
	}
}

func TestStopEndsASuspendedProcessGently(t *testing.T) {
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
		t.Error("it did not end gently")
	}
}

func TestKilledProcessExitsAsRequestedAndKeepsItsFolder(t *testing.T) {
	p := startCounting(t)
	p.Kill()
	<-p.Done()
	if exited, requested, err := p.ExitState(); !exited || !requested || err == nil {
		t.Errorf("killed: %v, %v, %v", exited, requested, err)
	}
	if _, err := os.Stat(p.Dir); err != nil {
		t.Error(err)
	}
	if err := p.RemoveDir(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(p.Dir); !errors.Is(err, os.ErrNotExist) {
		t.Error("its folder is still there")
	}
}

func TestExitByItselfIsNotRequested(t *testing.T) {
	p := startScript(t, "exit 3")
	<-p.Done()
	if _, requested, err := p.ExitState(); requested || err == nil {
		t.Errorf("ended by itself: %v, %v", requested, err)
	}
	if err := p.LimitFileSize(5); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("a process that has exited took a limit: %v", err)
	}
}

func TestProcessThatIgnoresTerminateIsKilledAndReported(t *testing.T) {
	p := startScript(t, "trap '' TERM\necho up\nwhile true; do sleep 0.05; done\n")
	logGrows(p, startLimit)
	var timeout *StopTimeoutError
	if err := p.Stop(); !errors.As(err, &timeout) || timeout.Name != "one" {
		t.Errorf("nobody says that it did not end: %v", err)
	}
	if exited, _, _ := p.ExitState(); !exited {
		t.Error("it was left behind")
	}
}
