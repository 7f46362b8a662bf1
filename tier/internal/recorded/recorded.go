// Package recorded holds tests to recorded bytes: files under testdata/recorded of the package under test, written once by the
// code of an earlier version. What is stored or sent today has to be these bytes, and these bytes have to be read as they were
// then. Nothing here writes a file, so that a test cannot replace its own recording.
package recorded

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Read returns a recording of the package under test. The name has no folder and no suffix.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "recorded", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Check fails the test unless the bytes are exactly the recorded ones. It names the first byte that differs.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name)
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	t.Errorf("%s: %d bytes differ from the %d recorded ones from byte %d on:\n got %x\nwant %x", name, len(got), len(want), at, got, want)
}

// CheckBoth fails the test unless a value is written as the recorded bytes and read back from them.
func CheckBoth[T any](t testing.TB, name string, value T, encode func(T) []byte, decode func([]byte) (T, error)) {
	t.Helper()
	Check(t, name, encode(value))
	got, err := decode(Read(t, name))
	if err != nil {
		t.Errorf("%s: the recorded bytes are not read: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, value) {
		t.Errorf("%s: read from the recorded bytes:\n got %+v\nwant %+v", name, got, value)
	}
}
