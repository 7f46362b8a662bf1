package membership

import "math"

const (
	// deadFadeTime is for how long a dead member goes on counting, less and less, in seconds: shares grow slowly.
	deadFadeTime = 4.0
	// minCountedPart is the smallest part of a set that ever counts as alive: no share is more than its listed one over the
	// root of it, whatever anybody believes.
	minCountedPart = 0.25
)

// State is what is believed of a member.
type State int

const (
	// Alive members answer, or nothing of them is waited for.
	Alive State = iota
	// Suspect members have been silent for unusually long.
	Suspect
	// Dead members were accused and have not refuted it.
	Dead
)

// StateOf says what is believed of a member.
func (d *Detector) StateOf(now float64, k int) State {
	m := &d.members[k]
	switch {
	case k == d.self:
		return Alive
	case m.incarnation.dead():
		return Dead
	case !math.IsNaN(m.lastHeard) && d.silence(now, m) > suspectAfter:
		return Suspect
	}
	return Alive
}

// AliveCount is how many members are not dead, this one with them.
func (d *Detector) AliveCount() int { return len(d.members) - d.dead }

// weight is what a member counts for: 1, and less and less once it is dead.
func (d *Detector) weight(now float64, k int) float64 {
	m := &d.members[k]
	if k == d.self || !m.incarnation.dead() {
		return 1
	}
	return min(1, max(0, 1-(now-m.deadSince)/deadFadeTime))
}

// ShareDivisor is by how many something is divided that is shared by width members from first on, counted round.
//
// With x the part of them that counts, it is width times the root of x. A set cut into k sides, each of which sees the
// others as dead, then uses at most the sum of the roots of their parts, which is never more than the root of k: 1.42
// times the whole for two. Survivors of a death get the root of their part, so 0.55 of the whole where three in ten
// are left, not 0.3. Those that come back count at once, and begin by dividing by all: with survivors that have not heard
// of it yet, at most root(x) + 1 - x, 1.25. Whatever is believed, no share is more than twice its listed part.
func (d *Detector) ShareDivisor(now float64, first, width int) float64 {
	if d == nil || width <= 1 || d.dead == 0 {
		return float64(max(1, width))
	}
	width = min(width, len(d.members))
	counted := 0.0
	for i := range width {
		counted += d.weight(now, (first+i)%len(d.members))
	}
	listed := float64(width)
	if counted < listed {
		return listed * math.Sqrt(max(minCountedPart, counted/listed))
	}
	return listed
}
