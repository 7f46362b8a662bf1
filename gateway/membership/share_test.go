package membership

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Whatever is believed, in whatever order news come: a share is from its listed part to twice that, one that comes back
// counts at once, and the dead count less only as time goes on.
func TestShareDivisorOverAllOrdersOfNews(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		members := 2 + random.IntN(9)
		d := startedDetector(members, 5000)
		now, last := 5000.0, float64(members)
		for range 60 {
			step := random.Float64() * 1.5
			now += step
			k := 1 + random.IntN(members-1)
			news := d.members[k].incarnation + incarnation(2+random.IntN(3))
			isBack := d.members[k].incarnation.dead() && !news.dead()
			d.learn(now, (k+1)%members, entry{member: k, incarnation: news})
			if random.IntN(20) == 0 {
				d.refute(now, 1, d.members[0].incarnation+1)
			}
			divisor := d.ShareDivisor(now, 0, members)
			checkDivisor(t, divisor, last, step, float64(members))
			if isBack && d.weight(now, k) != 1 {
				t.Fatal("one that is back does not count")
			}
			last = divisor
		}
	}
}

// checkDivisor holds a divisor within its bounds, and the last one's fall within what fading allows: each of the dead fades
// by step/deadFadeTime.
func checkDivisor(t *testing.T, divisor, last, step, members float64) {
	t.Helper()
	if divisor > members+1e-9 || divisor < members/2-1e-9 {
		t.Fatalf("%g divide by %.3f", members, divisor)
	}
	floor := members * math.Sqrt(max(minCountedPart, last*last/(members*members)-step/deadFadeTime))
	if divisor < floor-1e-9 {
		t.Fatalf("from %.3f to %.3f within %.2f s", last, divisor, step)
	}
}
