// Package digesttest compares digests of seeded simulations with recorded ones, to show that a refactoring changed no behaviour.
// A digest covers numbers, times and identifiers in the order in which they occur, but no names of Go types or fields and no log
// text. The recorded digests are in testdata/digests.txt of the tested package.
//
// Floating-point numbers are hashed with all their bits. Digests of a simulation whose floating-point results differ between
// platforms are recorded once for each platform, see CheckPerPlatform.
package digesttest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"testing"
)

const (
	// Seeds is the number of seeds, counted from 0, with which each simulation runs.
	Seeds = 10

	digestBytes = 12 // length of the SHA-256 prefix that is used
)

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

// Simulation runs with a seed and adds what happens to a digest.
type Simulation func(t *testing.T, seed int64, d *Digest)

// Check runs a simulation with each seed and compares the digests with those recorded under name, which are the same on every
// platform.
func Check(t *testing.T, name string, simulate Simulation) {
	t.Helper()
	check(t, OpenRecording(t), name, simulate)
}

// CheckPerPlatform is Check for a simulation whose floating-point results differ between platforms. It compares the digests with
// those recorded on this platform and fails if there are none.
func CheckPerPlatform(t *testing.T, name string, simulate Simulation) {
	t.Helper()
	check(t, OpenPlatformRecording(t), name, simulate)
}

func check(t *testing.T, recording *Recording, name string, simulate Simulation) {
	t.Helper()
	for seed := range int64(Seeds) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			d := New()
			simulate(t, seed, d)
			recording.Compare(t, name, seed, d.String())
		})
	}
}
