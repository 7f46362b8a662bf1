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

func TestAnyAsksUntilOneComesTrue(t *testing.T) {
	var asked []float64
	hit := Values{0.1, 0.2, 0.3}.Any(func(probability float64) bool {
		asked = append(asked, probability)
		return probability == 0.2
	})
	if !hit || len(asked) != 2 {
		t.Errorf("hit %v after asking for %v", hit, asked)
	}
}
