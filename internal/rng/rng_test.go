package rng

import (
	"hash/crc32"
	"strconv"
	"testing"
)

// Each number is derived from the checksum of the seed text followed by the counter.
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
