package digesttest

import (
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"testing"
)

// Digests of one platform must not be compared with those of another one, and those recorded on amd64 keep their file.
func TestRecordingFileOfPlatform(t *testing.T) {
	for want, tested := range map[string]platform{
		"digests.txt":               referencePlatform,
		"digests-amd64-fused.txt":   {"amd64", true},
		"digests-arm64-fused.txt":   {"arm64", true},
		"digests-arm64-unfused.txt": {"arm64", false},
	} {
		if got := tested.recordingFile(); got != filepath.Join("testdata", want) {
			t.Errorf("%+v: %s, want %s", tested, got, want)
		}
	}
	if got := (platform{}).recordingFile(); got != filepath.Join("testdata", "digests.txt") {
		t.Errorf("digests of every platform are in %s", got)
	}
}

// The current platform must be the one that the arithmetic of a simulation shows.
func TestCurrentPlatformFollowsArithmetic(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	fused := true
	for range 100 {
		x, y, z := random.Float64(), random.Float64(), float64(random.Float64()) // converted, so that only x*y is fused with the sum
		fused = fused && x*y+z == math.FMA(x, y, z)
	}
	if got := currentPlatform(); got != (platform{runtime.GOARCH, fused}) {
		t.Errorf("%+v, but fused is %v", got, fused)
	}
}

// A platform without recorded digests fails every comparison, and so does a digest that differs.
func TestCompareFailsWithoutEqualRecording(t *testing.T) {
	t.Setenv(recordVariable, "")
	file := filepath.Join(t.TempDir(), "digests.txt")
	missing := openRecording(t, file)
	if err := os.WriteFile(file, []byte("run 1 abc\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	recorded := openRecording(t, file)
	for name, test := range map[string]struct {
		recording *Recording
		seed      int64
		digest    string
		fails     bool
	}{
		"equal":         {recorded, 1, "abc", false},
		"different":     {recorded, 1, "abd", true},
		"no such seed":  {recorded, 2, "abc", true},
		"no such file":  {missing, 1, "abc", true},
		"empty digests": {missing, 1, "", true},
	} {
		probe := &testing.T{}
		test.recording.Compare(probe, "run", test.seed, test.digest)
		if probe.Failed() != test.fails {
			t.Errorf("%s: failed is %v", name, probe.Failed())
		}
	}
}

// In record mode the digests are written when the test ends, beside those of other simulations of the test.
func TestRecordModeWritesDigests(t *testing.T) {
	t.Setenv(recordVariable, "1")
	file := filepath.Join(t.TempDir(), "testdata", "digests.txt")
	t.Run("recorded", func(t *testing.T) {
		for _, name := range []string{"walk", "run"} {
			recording := openRecording(t, file)
			for seed, digest := range []string{"abc", "def"} {
				recording.Compare(t, name, int64(seed), digest)
			}
		}
	})
	if text, err := os.ReadFile(file); err != nil || string(text) != "run 0 abc\nrun 1 def\nwalk 0 abc\nwalk 1 def\n" {
		t.Errorf("%q, %v", text, err)
	}
}
