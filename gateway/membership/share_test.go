package membership

import (
	"math"
	"math/rand/v2"
	"testing"
)

// For any order of updates, a share is between its configured part and twice that, a returned member counts immediately, and the
// weight of dead members falls only with time.
func TestShareDivisorStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		members := 2 + random.IntN(9)
		d := startedDetector(members, 5000)
		now, last := 5000.0, float64(members)
		for range 60 {
			step := random.Float64() * 1.5
			now += step
			k := 1 + random.IntN(members-1)
			update := d.members[k].incarnation + incarnation(2+random.IntN(3))
			returned := d.members[k].incarnation.dead() && !update.dead()
			d.applyEntry(now, (k+1)%members, entry{member: k, incarnation: update})
			if random.IntN(20) == 0 {
				d.refute(now, 1, d.members[0].incarnation+1)
			}
			divisor := d.ShareDivisor(now, 0, members)
			checkDivisor(t, divisor, last, step, float64(members))
			if returned && d.weight(now, k) != 1 {
				t.Fatal("a returned member does not count fully")
			}
			last = divisor
		}
	}
}

// checkDivisor checks that a divisor is within its bounds, and that it has not fallen faster since the last one than the fading
// of dead members allows, which is step/deadFadeTime for each of them.
func checkDivisor(t *testing.T, divisor, last, step, members float64) {
	t.Helper()
	if divisor > members+1e-9 || divisor < members/2-1e-9 {
		t.Fatalf("%g members: share divisor %.3f", members, divisor)
	}
	floor := members * math.Sqrt(max(minCountedPart, last*last/(members*members)-step/deadFadeTime))
	if divisor < floor-1e-9 {
		t.Fatalf("share divisor fell from %.3f to %.3f within %.2f s", last, divisor, step)
	}
}
