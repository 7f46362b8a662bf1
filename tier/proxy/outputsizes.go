package proxy

import "sync/atomic"

const (
	// minBytesPerToken is the size of a token in the events of an engine that is expected at least.
	minBytesPerToken = 16
	// maxExpectedOutput bounds the expected size of an output, since clients may ask for any number of tokens.
	maxExpectedOutput = 256 << 10
	// maxKnownOutput bounds it once longer outputs have been seen.
	maxKnownOutput = 4 << 20
)

// outputSizes estimates the size of the outputs of turns, for which stores reserve room, by the largest that this process has seen. It is
// safe for concurrent use.
type outputSizes struct {
	largestBytesPerToken atomic.Uint64
}

// observe records the output of a turn that received a number of tokens.
func (s *outputSizes) observe(bytes int, tokens uint64) {
	if tokens == 0 {
		return
	}
	perToken := uint64(bytes) / tokens
	for known := s.largestBytesPerToken.Load(); perToken > known; known = s.largestBytesPerToken.Load() {
		if s.largestBytesPerToken.CompareAndSwap(known, perToken) {
			return
		}
	}
}

// expectedBytes returns the size that is reserved for an output of at most a number of tokens.
func (s *outputSizes) expectedBytes(tokens uint64) uint64 {
	perToken := s.largestBytesPerToken.Load()
	limit := uint64(maxKnownOutput)
	if perToken <= minBytesPerToken {
		perToken = minBytesPerToken
		limit = maxExpectedOutput
	}
	return min(tokens, limit/perToken) * perToken
}
