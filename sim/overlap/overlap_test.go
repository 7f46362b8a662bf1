package overlap

import "testing"

func TestMagnitudesEndInAnyOrder(t *testing.T) {
	var values Values
	for _, step := range []struct {
		magnitude float64
		begin     bool
		want      float64
	}{{2, true, 2}, {3, true, 6}, {2, true, 12}, {3, false, 4}, {5, false, 4}, {2, false, 2}, {2, false, 1}} {
		values.Toggle(step.magnitude, step.begin)
		if got := values.Product(); got != step.want {
			t.Errorf("after %v, begin %v: product %v, want %v", step.magnitude, step.begin, got, step.want)
		}
	}
}

func TestAnyDrawsUntilOneIsTrue(t *testing.T) {
	var drawn []float64
	hit := Values{0.1, 0.2, 0.3}.Any(func(probability float64) bool {
		drawn = append(drawn, probability)
		return probability == 0.2
	})
	if !hit || len(drawn) != 2 {
		t.Errorf("hit %v after draws for %v", hit, drawn)
	}
}
