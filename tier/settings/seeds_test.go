package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Seeds are reloaded after the interval. If the file cannot be read, the previous ones are kept.
func TestSeedsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	t.Setenv(FileVariable, path)
	s, err := Parse(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	seeds := newSeedsWithClock(s, func() time.Time { return now })
	now = now.Add(2 * seedsReloadInterval)
	if got := seeds.Addresses(); len(got) != 2 {
		t.Fatalf("without a file: %v", got)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(exampleFile, "10.2.0.43", "10.9.0.9", 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	if got := seeds.Addresses(); got[1] != "10.2.0.43:7380" {
		t.Fatalf("read again before the interval is over: %v", got)
	}
	now = now.Add(2 * seedsReloadInterval)
	if got := seeds.Addresses(); len(got) != 2 || got[1] != "10.9.0.9:7380" {
		t.Fatalf("after a change: %v", got)
	}
}
