package leakcheck

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// fakeTest is a testing.TB that records its cleanups and errors.
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

// end runs the cleanups in reverse order, like package testing.
func (f *fakeTest) end() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func TestLeakedGoroutineIsReportedWithItsStack(t *testing.T) {
	f := &fakeTest{}
	Check(f)
	release := make(chan struct{})
	defer close(release)
	go func() { <-release }()
	f.end()
	if len(f.errors) != 1 || !strings.Contains(f.errors[0], "TestLeakedGoroutineIsReportedWithItsStack") {
		t.Errorf("reported: %q", f.errors)
	}
}

func TestLeakedDescriptorIsReportedWithItsTarget(t *testing.T) {
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

// A goroutine that the test's own cleanup ends is not a leak, and a second Check in the same test has no effect.
func TestCleanedUpGoroutineIsNotALeak(t *testing.T) {
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
