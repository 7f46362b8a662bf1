package proxy

import "testing"

func TestExpectedOutputFollowsTheLargest(t *testing.T) {
	var s outputSizes
	if got := s.expectedBytes(100); got != 100*minBytesPerToken {
		t.Errorf("before any output: %d bytes", got)
	}
	if got := s.expectedBytes(1 << 40); got != maxExpectedOutput {
		t.Errorf("any number of tokens: %d bytes", got)
	}
	s.observe(5000, 100)
	s.observe(1000, 100)
	s.observe(1, 0)
	if got := s.expectedBytes(100); got != 5000 {
		t.Errorf("after an output of 50 bytes a token: %d bytes", got)
	}
	if got := s.expectedBytes(1 << 40); got > maxKnownOutput || got < maxKnownOutput-50 {
		t.Errorf("any number of tokens: %d bytes", got)
	}
}
