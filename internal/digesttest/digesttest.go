// Package digesttest keeps digests of what seeded simulations do, so that a change of names alone can be shown to have changed
// nothing else. A digest is taken over numbers, times and identifiers in the order in which they came, never over names of Go
// types or fields or over the text of log lines. It is compared with the one recorded in the package's testdata/digests.txt.
//
// Floating-point numbers enter with all their bits, so that digests hold for amd64, where the compiler doesn't fuse a
// multiplication with an addition.
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
	// Seeds is how many seeds, from 0 on, each simulation is played with.
	Seeds = 10

	// recordVariable, if it is set in the environment, has digests written down instead of compared. It is meant for a change that
	// is to alter what a simulation does, never for one that is not.
	recordVariable = "OTTERSEAM_RECORD_DIGESTS"

	digestBytes = 12 // kept of the SHA-256
)

var recorded = filepath.Join("testdata", "digests.txt")

// Digest is taken over values in the order in which they are added.
type Digest struct{ sum hash.Hash }

// New begins a digest.
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

// Float adds floating-point numbers with all their bits.
func (d *Digest) Float(values ...float64) {
	for _, value := range values {
		d.Uint(math.Float64bits(value))
	}
}

// Bool adds truth values.
func (d *Digest) Bool(values ...bool) {
	for _, value := range values {
		number := uint64(0)
		if value {
			number = 1
		}
		d.Uint(number)
	}
}

// Text adds identifiers, each with its length.
func (d *Digest) Text(values ...string) {
	for _, value := range values {
		d.Bytes([]byte(value))
	}
}

// Bytes adds bytes with their length.
func (d *Digest) Bytes(value []byte) {
	d.Uint(uint64(len(value)))
	d.sum.Write(value)
}

// String is the digest so far in hexadecimal digits.
func (d *Digest) String() string { return hex.EncodeToString(d.sum.Sum(nil)[:digestBytes]) }

// Check plays a simulation with each seed and compares the digests with those recorded under a name.
func Check(t *testing.T, name string, play func(t *testing.T, seed int64, d *Digest)) {
	t.Helper()
	known := read(t)
	for seed := range int64(Seeds) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			d := New()
			play(t, seed, d)
			key := fmt.Sprintf("%s %d", name, seed)
			switch got := d.String(); {
			case os.Getenv(recordVariable) != "":
				known[key] = got
			case known[key] == "":
				t.Errorf("no digest is recorded for seed %d of %s, it is %s", seed, name, got)
			case known[key] != got:
				t.Errorf("seed %d of %s: the digest is %s, recorded is %s", seed, name, got, known[key])
			}
		})
	}
	if os.Getenv(recordVariable) != "" {
		write(t, known)
	}
}

// read gives the recorded digests by name and seed.
func read(t *testing.T) map[string]string {
	t.Helper()
	known := map[string]string{}
	text, err := os.ReadFile(recorded)
	if errors.Is(err, fs.ErrNotExist) {
		return known
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			t.Fatalf("%s: %q is not a name, a seed and a digest", recorded, line)
		}
		known[fields[0]+" "+fields[1]] = fields[2]
	}
	return known
}

func write(t *testing.T, known map[string]string) {
	t.Helper()
	var lines []string
	for key, digest := range known {
		lines = append(lines, key+" "+digest+"\n")
	}
	slices.Sort(lines)
	if err := os.MkdirAll(filepath.Dir(recorded), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recorded, []byte(strings.Join(lines, "")), 0o644); err != nil {
		t.Fatal(err)
	}
}
