package membershipsim

import "testing"

// Deaths are known to nearly all within two seconds and nobody live is accused; the same plan gives the same figures.
func TestDeathsAreKnown(t *testing.T) {
	p := Plan{Members: 60, Length: 60, Mail: 60, Part: 0.1, Delay: 0.005, Loss: 0.05, Every: 5, Down: 8, Seed: 3}
	a, b := Play(p), Play(p)
	a.Mass90, b.Mass90 = 0, 0 // not a number where nobody died at once
	if *a != *b {
		t.Errorf("two plays differ: %+v %+v", a, b)
	}
	if a.Deaths == 0 || a.P99 > 2.2 || a.Accused > 0 || a.Wrong > 0 || a.Messages > 8 {
		t.Errorf("%+v", a)
	}
	if x := Play(Plan{Members: 60, Length: 60, Mail: 60, Part: 0.1, Delay: 0.005, CutAt: 20, CutEnds: 40, Cut: 0.5, Seed: 3}); x.Share > 1.4143 || x.Share < 1.3 || x.Wrong > 0 {
		t.Errorf("a cut: %+v", x)
	}
}
