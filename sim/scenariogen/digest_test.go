package scenariogen

import (
	"testing"

	"otterseam/internal/digesttest"
)

const daysPerDigest = 200

// The file of a day contains everything that was drawn for it, so the digests of the files detect any change in the generator.
func TestDayDigests(t *testing.T) {
	digesttest.Check(t, "days", func(t *testing.T, seed int64, d *digesttest.Digest) {
		for _, tolerated := range []int{1, 2} {
			generator := newTestGenerator(t, tolerated)
			for number := range uint64(daysPerDigest) {
				d.Text(generator.Day(uint64(seed)*daysPerDigest + number).TOML())
			}
		}
	})
}
