// Package randstream gives each part of the laboratory random numbers of its own, so that a draw more in one part moves
// nothing in another. It owns no state beyond the streams it gives away.
package randstream

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Stream is one part's source of random numbers.
type Stream struct{ *rand.Rand }

// New gives the stream of a part, told apart by its name and numbers, of a day's seed.
func New(seed uint64, part string, numbers ...int) Stream {
	h := fnv.New64a()
	h.Write([]byte(part))
	for _, n := range numbers {
		for range 8 {
			h.Write([]byte{byte(n)})
			n >>= 8
		}
	}
	return Stream{rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// Exponential draws from the exponential distribution of a mean.
func (s Stream) Exponential(mean float64) float64 { return s.ExpFloat64() * mean }

// Uniform draws evenly from lo to hi.
func (s Stream) Uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.Float64() }

// Chance is true in p of all cases.
func (s Stream) Chance(p float64) bool { return p > 0 && s.Float64() < p }

// Pareto draws a weight of mean about 1 whose tail falls with the power a (over 1): a few get several times the mean.
func (s Stream) Pareto(a float64) float64 {
	return min(20, (a-1)/a/math.Pow(1-s.Float64(), 1/a))
}

// SampleShare picks so many of n places, in order; at least one where share is over 0 and n is.
func (s Stream) SampleShare(n int, share float64) []bool {
	in := make([]bool, n)
	most := int(math.Round(share * float64(n)))
	if share > 0 && most == 0 {
		most = 1
	}
	for _, i := range s.Perm(n)[:min(n, most)] {
		in[i] = true
	}
	return in
}
