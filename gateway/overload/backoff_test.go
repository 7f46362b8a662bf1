package overload

import (
	"fmt"
	"testing"
)

// dialsInStep lets that many gateways dial for 10 s and counts from the fourth second on, when pauses have grown to their
// longest: all dials, and the most within a hundredth of a second.
func dialsInStep(gateways int, backoffs func(gateway int) *Backoffs) (most, sum int) {
	perHundredth := map[int]int{}
	for i := range gateways {
		backoff := backoffs(i).New(0.01)
		for at := backoff.Next(); at < 10; at += backoff.Next() {
			if at > 3 {
				perHundredth[int(at*100)]++
				sum++
			}
		}
	}
	for _, dials := range perHundredth {
		most = max(most, dials)
	}
	return most, sum
}

// Hundreds of gateways lose the counter in the same millisecond for ten seconds. They do not dial it together: in no hundredth
// of a second much more than in another, and all stay within what the fleet may. With exponential backoff they come in step.
func TestDialsOfTheFleetAreSpread(t *testing.T) {
	for _, gateways := range []int{3, 300, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			most, sum := dialsInStep(gateways, func(i int) *Backoffs { return DecorrelatedBackoffs(gateways, uint64(i)) })
			limit := 7 * max(fleetDialRate, float64(gateways)/maxBackoff) * 2.2
			if float64(sum) > limit || most > 8+5*sum/700 {
				t.Errorf("%d dials in 7 s, want at most %.0f; %d in a hundredth of a second", sum, limit, most)
			}
			if most, _ := dialsInStep(gateways, func(int) *Backoffs { return ExponentialBackoffs() }); most != gateways {
				t.Errorf("exponential backoff: %d of %d in step", most, gateways)
			}
		})
	}
}
