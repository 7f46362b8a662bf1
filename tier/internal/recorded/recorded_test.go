package recorded

import (
	"errors"
	"testing"
)

// failures stands for a test that is to fail.
type failures struct {
	testing.TB
	count int
}

func (f *failures) Helper()               {}
func (f *failures) Errorf(string, ...any) { f.count++ }

func identity(b string) []byte { return []byte(b) }

func TestCheckTakesTheRecordedBytesAlone(t *testing.T) {
	f := &failures{TB: t}
	Check(f, "sample", []byte("sample"))
	if f.count != 0 {
		t.Fatal("the recorded bytes were refused")
	}
	for _, other := range []string{"", "sampl", "sample2", "Sample"} {
		f := &failures{TB: t}
		Check(f, "sample", []byte(other))
		if f.count != 1 {
			t.Errorf("%q was taken for the recorded bytes", other)
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
	for name, each := range decoders {
		f := &failures{TB: t}
		CheckBoth(f, "sample", "sample", identity, each.decode)
		if (f.count > 0) != each.fails {
			t.Errorf("%s: %d failures", name, f.count)
		}
	}
}
