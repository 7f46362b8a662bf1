package randstream

import "testing"

func TestStreamsDifferByPartNumberAndSeed(t *testing.T) {
	first := New(1, "host", 3).Uint64()
	if again := New(1, "host", 3).Uint64(); again != first {
		t.Errorf("two streams with the same seed and name begin with %d and %d", first, again)
	}
	for name, other := range map[string]Stream{"part": New(1, "hosts", 3), "number": New(1, "host", 4), "seed": New(2, "host", 3)} {
		if other.Uint64() == first {
			t.Errorf("a stream with a different %s begins with the same number", name)
		}
	}
}

func TestSampleSharePicksTheShareAndAtLeastOne(t *testing.T) {
	for _, c := range []struct {
		n     int
		share float64
		want  int
	}{{10, 0.5, 5}, {10, 0.01, 1}, {10, 0, 0}, {10, 2, 10}, {0, 0.5, 0}} {
		picked := 0
		for _, in := range New(1, "sample").SampleShare(c.n, c.share) {
			if in {
				picked++
			}
		}
		if picked != c.want {
			t.Errorf("a share of %v of %d selects %d, want %d", c.share, c.n, picked, c.want)
		}
	}
}
