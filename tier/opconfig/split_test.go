package opconfig

import (
	"testing"

	"pgregory.net/rapid"
)

// Each service is chosen in proportion to its weight, and a service of weight 0 is never chosen.
func TestPickServiceFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 5).Draw(rt, "weights")
		route := &Route{}
		total := 0
		for i, weight := range weights {
			route.Split = append(route.Split, Split{Service: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		if total == 0 {
			return
		}
		counts := map[string]int{}
		const draws = 2000
		for i := range draws {
			counts[route.PickService((float64(i)+0.5)/draws)]++
		}
		for i, weight := range weights {
			got := float64(counts[string(rune('a'+i))]) / draws
			want := float64(weight) / float64(total)
			if got < want-0.01 || got > want+0.01 {
				rt.Fatalf("weight %d of %d got a share of %.3f", weight, total, got)
			}
		}
	})
}
