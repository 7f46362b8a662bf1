package membership

// This file alone decides by how many a share is divided. It must never say more of one that is gone than time allows,
// nor keep one that is back waiting.

import "math"

const (
	// fading is how long a member that is gone goes on counting, less and less, in seconds: shares grow slowly.
	fading = 4.0
	// least is the smallest part of a set that ever counts as there: no share is more than its listed one over the root
	// of it, whatever anybody believes.
	least = 0.25
)

// State is what is believed of a member.
type State int

const (
	Alive State = iota
	Suspect
	Dead
)

// Is says what is believed of a member.
func (g *Detector) StateOf(now float64, k int) State {
	p := &g.peers[k]
	switch {
	case k == g.me:
		return Alive
	case p.mark.gone():
		return Dead
	case !math.IsNaN(p.heard) && g.silent(now, p) > further:
		return Suspect
	}
	return Alive
}

// Count is how many are there, this one with them.
func (g *Detector) AliveCount() int { return g.n - g.away }

// counts is what a member counts for: 1, and less and less once it is gone.
func (g *Detector) counts(now float64, k int) float64 {
	p := &g.peers[k]
	if k == g.me || !p.mark.gone() {
		return 1
	}
	return min(1, max(0, 1-(now-p.goneAt)/fading))
}

// Apart is by how many something is divided that is shared by width members from first on, counted round.
//
// With x the part of them that counts, it is width times the root of x. A set cut into k sides, each of which sees the
// others as gone, then uses at most the sum of the roots of their parts, which is never more than the root of k: 1.42
// times the whole for two. Survivors of a death get the root of their part, so 0.55 of the whole where three in ten
// are left, not 0.3. Those who come back count at once, and begin by dividing by all: with survivors that have not heard
// of it yet, at most root(x) + 1 - x, 1.25. Whatever is believed, no share is more than twice its listed part.
func (g *Detector) ShareDivisor(now float64, first, width int) float64 {
	if g == nil || width <= 1 || g.away == 0 {
		return float64(max(1, width))
	}
	width = min(width, g.n)
	sum := 0.0
	for i := range width {
		sum += g.counts(now, (first+i)%g.n)
	}
	if w := float64(width); sum < w {
		return w * math.Sqrt(max(least, sum/w))
	}
	return float64(width)
}
