package randstream

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// maxParetoWeight bounds the weights that Pareto draws.
const maxParetoWeight = 20

// Stream is one part's source of random numbers. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// New gives the stream of a part, told apart by its name and numbers, under the seed of a simulation.
func New(seed uint64, part string, numbers ...int) Stream {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(part)) // a hash takes all that is written
	for _, n := range numbers {
		for range 8 {
			_, _ = hash.Write([]byte{byte(n)})
			n >>= 8
		}
	}
	return Stream{rand.New(rand.NewPCG(seed, hash.Sum64()))}
}

// Exponential draws from the exponential distribution of a mean.
func (s Stream) Exponential(mean float64) float64 { return s.ExpFloat64() * mean }

// Uniform draws evenly from lo to hi.
func (s Stream) Uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.Float64() }

// Chance is true with a probability.
func (s Stream) Chance(probability float64) bool {
	return probability > 0 && s.Float64() < probability
}

// Pareto draws a weight of mean about 1 whose tail falls with the power alpha, which is over 1: a few get several times the mean.
func (s Stream) Pareto(alpha float64) float64 {
	return min(maxParetoWeight, (alpha-1)/alpha/math.Pow(1-s.Float64(), 1/alpha))
}

// SampleShare picks a share of n indices at random and says of each whether it is in; at least one is, where share is over 0 and n is.
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
