package recorded

import (
	"errors"
	"testing"
)

// failureCounter is a testing.TB that counts its failures, to test checks that are expected to fail.
type failureCounter struct {
	testing.TB
	count int
}

func (f *failureCounter) Helper()               {}
func (f *failureCounter) Errorf(string, ...any) { f.count++ }

func identity(b string) []byte { return []byte(b) }

func TestCheckAcceptsOnlyRecordedBytes(t *testing.T) {
	f := &failureCounter{TB: t}
	Check(f, "sample", []byte("sample"))
	if f.count != 0 {
		t.Fatal("Check rejected the recorded bytes")
	}
	for _, other := range []string{"", "sampl", "sample2", "Sample"} {
		f := &failureCounter{TB: t}
		Check(f, "sample", []byte(other))
		if f.count != 1 {
			t.Errorf("Check accepted %q", other)
		}
	}
}

func TestCheckBothReadsTheRecordedBytes(t *testing.T) {
	decoders := map[string]struct {
		decode func([]byte) (string, error)
		fails  bool
	}{
		"right": {func(b []byte) (string, error) { return string(b), nil }, false},
		"wrong": {func([]byte) (string, error) { return "other", nil }, true},
		"error": {func([]byte) (string, error) { return "sample", errors.New("unread") }, true},
	}
	for name, test := range decoders {
		f := &failureCounter{TB: t}
		CheckBoth(f, "sample", "sample", identity, test.decode)
		if (f.count > 0) != test.fails {
			t.Errorf("%s: %d failures", name, f.count)
		}
	}
}
