package membership

import "math"

const (
	// deadFadeTime is the time in seconds over which the weight of a dead member falls to 0, so that the shares of the others
	// grow slowly.
	deadFadeTime = 4.0
	// minCountedPart is the minimum fraction of a set that counts as alive. No share exceeds the configured one divided by the
	// square root of it, whatever the views of the members are.
	minCountedPart = 0.25
)

// State is the state of a member in the local view.
type State int

const (
	// Alive members were heard from recently, or their silence is not measured.
	Alive State = iota
	// Suspect members have been silent for longer than suspectAfter.
	Suspect
	// Dead members were accused and have not refuted it.
	Dead
)

// StateOf returns the state of a member.
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

// AliveCount returns the number of members that are not dead, including this one.
func (d *Detector) AliveCount() int { return len(d.members) - d.dead }

// weight returns the weight of a member in shares: 1, fading to 0 once it is dead.
func (d *Detector) weight(now float64, k int) float64 {
	m := &d.members[k]
	if k == d.self || !m.incarnation.dead() {
		return 1
	}
	return min(1, max(0, 1-(now-m.deadSince)/deadFadeTime))
}

// ShareDivisor returns the divisor of a quantity that is shared by width consecutive members starting at first, wrapping around.
//
// With x as the fraction of these members that counts, the divisor is width*sqrt(x). If a set is partitioned into k sides, each
// of which considers the others dead, the sides together use at most the sum of the square roots of their fractions. That sum is
// at most sqrt(k), which is 1.42 times the total for two sides. The survivors of a failure together get the square root of their
// fraction: 0.55 of the total if three in ten are left, rather than 0.3. Members that return count immediately and start by
// dividing by the full number. Together with survivors that don't know of the return yet, they use sqrt(x) + 1 - x, which is
// at most 1.25. Whatever the views of the members are, no share exceeds twice its configured part.
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
