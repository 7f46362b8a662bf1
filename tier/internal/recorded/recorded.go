// Package recorded compares encoded forms with recorded bytes, to detect incompatible changes of what is stored or sent. The
// recordings are files under testdata/recorded of the package under test that an earlier version wrote. The current version must
// encode a value to exactly these bytes and decode them to the same value. The package never writes a file, so that a test cannot
// replace its own recording.
package recorded

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Read returns a recording of the package under test. The name is that of its file, without directory and extension.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "recorded", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Check fails the test unless the bytes equal the recorded ones. The failure states the offset of the first difference.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name)
	if bytes.Equal(got, want) {
		return
	}
	offset := 0
	for offset < len(got) && offset < len(want) && got[offset] == want[offset] {
		offset++
	}
	t.Errorf("%s: %d bytes differ from the %d recorded bytes, first at offset %d:\n got %x\nwant %x", name, len(got), len(want), offset, got, want)
}

// CheckBoth fails the test unless a value is encoded to the recorded bytes and decoded from them.
func CheckBoth[T any](t testing.TB, name string, value T, encode func(T) []byte, decode func([]byte) (T, error)) {
	t.Helper()
	Check(t, name, encode(value))
	got, err := decode(Read(t, name))
	if err != nil {
		t.Errorf("%s: decoding the recorded bytes: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, value) {
		t.Errorf("%s: decoded from the recorded bytes:\n got %+v\nwant %+v", name, got, value)
	}
}
