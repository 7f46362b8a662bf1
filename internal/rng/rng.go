// Package rng generates random numbers for decision code. The same seed yields the same numbers on every machine and in every
// run. The numbers are a hash of the seed and a counter, so that any program can reproduce them. They are not suitable for
// cryptography.
package rng

import (
	"fmt"
	"hash/crc32"
	"strconv"
)

const (
	// knuthMultiplier spreads the bits of a checksum, because the checksums of consecutive counters differ little
	// (multiplicative hashing; Knuth, The Art of Computer Programming, volume 3, section 6.4).
	knuthMultiplier = 2654435761
	// uint32Values is the number of values of a uint32.
	uint32Values = 1 << 32
	// maxDigits is the maximum number of decimal digits of a counter.
	maxDigits = 20
)

// Stream is a sequence of random numbers. It is not safe for concurrent use.
type Stream struct {
	seedSum uint32 // CRC-32 of the seed's text
	drawn   uint64 // count of numbers generated so far
}

// New returns a stream seeded with the text that fmt.Sprintf formats. The text names the purpose of the stream and holds a
// number.
func New(format string, args ...any) Stream {
	return Stream{seedSum: crc32.ChecksumIEEE(fmt.Appendf(nil, format, args...))}
}

// Float64 returns the next number in [0, 1).
func (s *Stream) Float64() float64 {
	var digits [maxDigits]byte
	s.drawn++
	text := strconv.AppendUint(digits[:0], s.drawn, 10)
	return float64(knuthMultiplier*crc32.Update(s.seedSum, crc32.IEEETable, text)) / uint32Values
}
