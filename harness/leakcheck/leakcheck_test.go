package leakcheck

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// fakeTest stands for a test: it records its cleanups and errors.
type fakeTest struct {
	testing.TB
	cleanups []func()
	errors   []string
}

func (f *fakeTest) Helper() {}

func (f *fakeTest) Cleanup(cleanup func()) { f.cleanups = append(f.cleanups, cleanup) }

func (f *fakeTest) Errorf(format string, args ...any) {
	f.errors = append(f.errors, fmt.Sprintf(format, args...))
}

// end runs the cleanups as package testing does: the last one first.
func (f *fakeTest) end() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func TestLeftGoroutineIsReportedWithItsStack(t *testing.T) {
	f := &fakeTest{}
	Check(f)
	release := make(chan struct{})
	defer close(release)
	go func() { <-release }()
	f.end()
	if len(f.errors) != 1 || !strings.Contains(f.errors[0], "TestLeftGoroutineIsReportedWithItsStack") {
		t.Errorf("reported: %q", f.errors)
	}
}

func TestLeftDescriptorIsReportedWithItsTarget(t *testing.T) {
	f := &fakeTest{}
	Check(f)
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	f.end()
	if len(f.errors) != 1 || !strings.Contains(f.errors[0], os.DevNull) {
		t.Errorf("reported: %q", f.errors)
	}
}

// What a test's own cleanup ends is no leak, and a second check of the same test adds nothing.
func TestWhatIsCleanedUpIsNoLeak(t *testing.T) {
	f := &fakeTest{}
	Check(f)
	release := make(chan struct{})
	f.Cleanup(func() { close(release) })
	go func() { <-release }()
	Check(f)
	if len(f.cleanups) != 2 {
		t.Errorf("%d cleanups", len(f.cleanups))
	}
	f.end()
	if len(f.errors) != 0 {
		t.Errorf("reported: %q", f.errors)
	}
}
