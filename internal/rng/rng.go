// Package rng gives code that decides its random numbers: the same ones for the same seed, wherever and whenever it runs. It
// asks neither a clock nor the machine. The numbers are a hash of the seed and a counter, so that any program can work them
// out again; they are not for cryptography.
package rng

import (
	"fmt"
	"hash/crc32"
	"strconv"
)

const (
	// knuthMultiplier spreads the bits of a checksum, which differs little from one counter to the next (multiplicative
	// hashing; Knuth, The Art of Computer Programming, volume 3, section 6.4).
	knuthMultiplier = 2654435761
	// range32 is how many values 32 bits have.
	range32 = 1 << 32
	// maxDigits is how many decimal digits a counter has at most.
	maxDigits = 20
)

// Stream is a sequence of random numbers. It is not safe for concurrent use.
type Stream struct {
	seedSum uint32 // CRC-32 of the seed's text
	drawn   uint64 // numbers so far
}

// New begins a stream whose seed is the text that fmt.Sprintf gives: what it is for, and a number.
func New(format string, args ...any) Stream {
	return Stream{seedSum: crc32.ChecksumIEEE(fmt.Appendf(nil, format, args...))}
}

// Float64 gives the next number, from 0 to below 1.
func (s *Stream) Float64() float64 {
	var digits [maxDigits]byte
	s.drawn++
	text := strconv.AppendUint(digits[:0], s.drawn, 10)
	return float64(knuthMultiplier*crc32.Update(s.seedSum, crc32.IEEETable, text)) / range32
}
