package scenariogen

import (
	"testing"

	"otterseam/internal/digesttest"
)

const daysInADigest = 200

// The text of a day's file holds all that was drawn for it.
func TestDayDigests(t *testing.T) {
	digesttest.Check(t, "days", func(t *testing.T, seed int64, d *digesttest.Digest) {
		for _, tolerated := range []int{1, 2} {
			generator := newTestGenerator(t, tolerated)
			for number := range uint64(daysInADigest) {
				d.Text(generator.Day(uint64(seed)*daysInADigest + number).TOML())
			}
		}
	})
}
