package digesttest

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// recordVariable is the environment variable that makes a Recording store digests instead of comparing them. Set it only for a change
// that is meant to alter the behaviour of a simulation, or to record a new platform.
const recordVariable = "OTTERSEAM_RECORD_DIGESTS"

// Recording holds the recorded digests of the package under test. It is safe for concurrent use, so that seeds may run in parallel.
type Recording struct {
	file    string
	record  bool              // store digests instead of comparing them
	digests map[string]string // digests to compare with, by name and seed

	mu       sync.Mutex        // guards recorded
	recorded map[string]string // digests to store, by name and seed
}

// OpenRecording reads the digests that are the same on every platform.
func OpenRecording(t *testing.T) *Recording {
	t.Helper()
	return openRecording(t, platform{}.recordingFile())
}

// OpenPlatformRecording reads the digests that were recorded on this platform.
func OpenPlatformRecording(t *testing.T) *Recording {
	t.Helper()
	return openRecording(t, currentPlatform().recordingFile())
}

// openRecording reads a file of digests. In record mode it writes the file at the end of the test, after parallel subtests.
func openRecording(t *testing.T, file string) *Recording {
	t.Helper()
	r := &Recording{
		file: file, record: os.Getenv(recordVariable) != "", digests: readDigests(t, file), recorded: map[string]string{},
	}
	if r.record {
		t.Cleanup(func() { r.write(t) })
	}
	return r
}

// Compare fails the test unless the digest equals the one recorded for a simulation and a seed.
func (r *Recording) Compare(t *testing.T, name string, seed int64, got string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%s %d", name, seed)
	switch want := r.digests[key]; {
	case r.record:
		r.recorded[key] = got
	case want == "":
		t.Errorf("seed %d of %s: no digest recorded in %s, got %s", seed, name, r.file, got)
	case want != got:
		t.Errorf("seed %d of %s: digest %s, want %s as recorded in %s", seed, name, got, want, r.file)
	}
}

// readDigests returns the digests in a file, keyed by name and seed. A file that does not exist has none.
func readDigests(t *testing.T, file string) map[string]string {
	t.Helper()
	digests := map[string]string{}
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return digests
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			t.Fatalf("%s: line %q does not consist of a name, a seed and a digest", file, line)
		}
		digests[fields[0]+" "+fields[1]] = fields[2]
	}
	return digests
}

// write stores the digests, sorted by name and seed. Digests of other simulations that were stored meanwhile are kept.
func (r *Recording) write(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	digests := readDigests(t, r.file)
	maps.Copy(digests, r.recorded)
	var lines []string
	for key, digest := range digests {
		lines = append(lines, key+" "+digest+"\n")
	}
	slices.Sort(lines)
	if err := os.MkdirAll(filepath.Dir(r.file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.file, []byte(strings.Join(lines, "")), 0o644); err != nil {
		t.Fatal(err)
	}
}
