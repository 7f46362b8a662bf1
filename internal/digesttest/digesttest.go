// Package digesttest compares digests of seeded simulations with recorded ones, to show that a refactoring changed no behaviour.
// A digest covers numbers, times and identifiers in the order in which they occur, but no names of Go types or fields and no log
// text. The recorded digests are in testdata/digests.txt of the tested package.
//
// Floating-point numbers are hashed with all their bits. The recorded digests are therefore valid on amd64, where the compiler
// doesn't fuse a multiplication and an addition.
package digesttest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	// Seeds is the number of seeds, counted from 0, with which each simulation runs.
	Seeds = 10

	// recordVariable is the environment variable that makes Check record digests instead of comparing them. Set it only for a
	// change that is meant to alter the behaviour of a simulation.
	recordVariable = "OTTERSEAM_RECORD_DIGESTS"

	digestBytes = 12 // length of the SHA-256 prefix that is used
)

var digestFile = filepath.Join("testdata", "digests.txt")

// Digest is a hash of values in the order in which they are added.
type Digest struct{ sum hash.Hash }

// New returns an empty digest.
func New() *Digest { return &Digest{sha256.New()} }

// Int adds signed numbers.
func (d *Digest) Int(values ...int64) {
	for _, value := range values {
		d.Uint(uint64(value))
	}
}

// Uint adds unsigned numbers.
func (d *Digest) Uint(values ...uint64) {
	var bytes [8]byte
	for _, value := range values {
		binary.BigEndian.PutUint64(bytes[:], value)
		d.sum.Write(bytes[:])
	}
}

// Float adds floating-point numbers, each with all its bits.
func (d *Digest) Float(values ...float64) {
	for _, value := range values {
		d.Uint(math.Float64bits(value))
	}
}

// Bool adds booleans.
func (d *Digest) Bool(values ...bool) {
	for _, value := range values {
		number := uint64(0)
		if value {
			number = 1
		}
		d.Uint(number)
	}
}

// Text adds strings, each preceded by its length.
func (d *Digest) Text(values ...string) {
	for _, value := range values {
		d.Bytes([]byte(value))
	}
}

// Bytes adds bytes, preceded by their length.
func (d *Digest) Bytes(value []byte) {
	d.Uint(uint64(len(value)))
	d.sum.Write(value)
}

// String returns the digest of the values added so far, in hexadecimal.
func (d *Digest) String() string { return hex.EncodeToString(d.sum.Sum(nil)[:digestBytes]) }

// Check runs a simulation with each seed and compares the digests with those recorded under name.
func Check(t *testing.T, name string, simulate func(t *testing.T, seed int64, d *Digest)) {
	t.Helper()
	digests := readDigests(t)
	for seed := range int64(Seeds) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			d := New()
			simulate(t, seed, d)
			key := fmt.Sprintf("%s %d", name, seed)
			switch got := d.String(); {
			case os.Getenv(recordVariable) != "":
				digests[key] = got
			case digests[key] == "":
				t.Errorf("seed %d of %s: no recorded digest, got %s", seed, name, got)
			case digests[key] != got:
				t.Errorf("seed %d of %s: digest %s, want the recorded %s", seed, name, got, digests[key])
			}
		})
	}
	if os.Getenv(recordVariable) != "" {
		writeDigests(t, digests)
	}
}

// readDigests returns the recorded digests, keyed by name and seed.
func readDigests(t *testing.T) map[string]string {
	t.Helper()
	digests := map[string]string{}
	text, err := os.ReadFile(digestFile)
	if errors.Is(err, fs.ErrNotExist) {
		return digests
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			t.Fatalf("%s: line %q does not consist of a name, a seed and a digest", digestFile, line)
		}
		digests[fields[0]+" "+fields[1]] = fields[2]
	}
	return digests
}

func writeDigests(t *testing.T, digests map[string]string) {
	t.Helper()
	var lines []string
	for key, digest := range digests {
		lines = append(lines, key+" "+digest+"\n")
	}
	slices.Sort(lines)
	if err := os.MkdirAll(filepath.Dir(digestFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(digestFile, []byte(strings.Join(lines, "")), 0o644); err != nil {
		t.Fatal(err)
	}
}
