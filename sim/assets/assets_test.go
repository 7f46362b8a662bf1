package assets

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
)

func newSet() Set {
	return Set{Kind: "script", Folder: "scripts", Files: fstest.MapFS{
		"scripts/cut.toml":    {Data: []byte("cut")},
		"scripts/calm.toml":   {Data: []byte("calm")},
		"scripts/notes.txt":   {Data: []byte("notes")},
		"elsewhere/gone.toml": {Data: []byte("gone")},
	}}
}

func TestNamesListsTheFolderInOrder(t *testing.T) {
	if names := newSet().Names(); !slices.Equal(names, []string{"calm", "cut"}) {
		t.Errorf("names %q", names)
	}
}

func TestReadPrefersNamesToPaths(t *testing.T) {
	outside := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(outside, []byte("own"), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string][2]string{"cut": {"cut.toml", "cut"}, outside: {outside, "own"}} {
		if file, text, err := newSet().Read(name); err != nil || file != want[0] || string(text) != want[1] {
			t.Errorf("%s: %s, %q, %v", name, file, text, err)
		}
	}
}

func TestReadListsTheKnownNames(t *testing.T) {
	_, _, err := newSet().Read("gone")
	if err == nil || !strings.Contains(err.Error(), "no script of that name; there are calm, cut") {
		t.Errorf("error %v", err)
	}
	var notFound *NotFoundError
	if !errors.As(err, &notFound) || notFound.Name != "gone" || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %#v", err)
	}
	if _, _, err := newSet().Read("./none.toml"); !os.IsNotExist(err) {
		t.Errorf("a path: error %v", err)
	}
}
