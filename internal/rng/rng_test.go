package rng

import (
	"hash/crc32"
	"strconv"
	"testing"
)

// The numbers are those of the seed's text followed by the counter, under one checksum.
func TestFloat64IsHashOfSeedAndCounter(t *testing.T) {
	s := New("test %d ", 7)
	for counter := 1; counter <= 1000; counter++ {
		sum := crc32.ChecksumIEEE([]byte("test 7 " + strconv.Itoa(counter)))
		want := float64(sum*2654435761) / (1 << 32)
		if got := s.Float64(); got != want || got < 0 || got >= 1 {
			t.Fatalf("number %d: got %v, want %v", counter, got, want)
		}
	}
}
