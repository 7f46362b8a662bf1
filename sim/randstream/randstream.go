package randstream

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// maxParetoWeight is the maximum weight that Pareto draws.
const maxParetoWeight = 20

// Stream is the source of random numbers of one part. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// New returns the stream of a part of a simulation with the given seed. Parts are identified by name and numbers.
func New(seed uint64, part string, numbers ...int) Stream {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(part)) // writing to a hash never fails
	for _, n := range numbers {
		for range 8 {
			_, _ = hash.Write([]byte{byte(n)})
			n >>= 8
		}
	}
	return Stream{rand.New(rand.NewPCG(seed, hash.Sum64()))}
}

// Exponential draws from the exponential distribution with the given mean.
func (s Stream) Exponential(mean float64) float64 { return s.ExpFloat64() * mean }

// Uniform draws from the uniform distribution between lo and hi.
func (s Stream) Uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.Float64() }

// Chance returns true with the given probability.
func (s Stream) Chance(probability float64) bool {
	return probability > 0 && s.Float64() < probability
}

// Pareto draws a weight from a truncated Pareto distribution with the tail exponent alpha, which must be greater than 1, and a mean of
// about 1. A few weights are several times the mean.
func (s Stream) Pareto(alpha float64) float64 {
	return min(maxParetoWeight, (alpha-1)/alpha/math.Pow(1-s.Float64(), 1/alpha))
}

// SampleShare selects a share of n indices at random and returns for each index whether it is selected. At least one is selected if
// share and n are greater than 0.
func (s Stream) SampleShare(n int, share float64) []bool {
	picked := make([]bool, n)
	count := int(math.Round(share * float64(n)))
	if share > 0 && count == 0 {
		count = 1
	}
	for _, i := range s.Perm(n)[:min(n, count)] {
		picked[i] = true
	}
	return picked
}
