// Package rng gives deciding code its chances: the same ones for the same seed, wherever and whenever it runs. It must never
// ask a clock or the machine for any.
package rng

import (
	"fmt"
	"hash/crc32"
	"strconv"
)

// Line is a line of chances.
type Line struct {
	seeded uint32 // the check sum of the seed
	drawn  uint64 // how many so far
}

// By begins a line named by what it is for and its seed.
func By(form string, args ...any) Line {
	return Line{seeded: crc32.ChecksumIEEE(fmt.Appendf(nil, form, args...))}
}

// Next gives the next chance, from 0 to below 1.
func (l *Line) Next() float64 {
	var digits [20]byte // of the counter; the seed's are in the check sum already
	l.drawn++
	text := strconv.AppendUint(digits[:0], l.drawn, 10)
	return float64(2654435761*crc32.Update(l.seeded, crc32.IEEETable, text)) / (1 << 32)
}
