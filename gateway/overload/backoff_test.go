package overload

import (
	"fmt"
	"testing"
)

// countDials simulates the dials of the given number of gateways for 10 s. It returns the largest number of dials within a
// hundredth of a second and the number of all dials, both from the fourth second on, when delays have reached their maximum.
func countDials(gateways int, backoffs func(gateway int) *Backoffs) (most, sum int) {
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

// Gateways lose the counter in the same millisecond for ten seconds. With decorrelated jitter no hundredth of a second has many
// more dials than another, and the dial rate of the fleet stays within its limit. With exponential backoff all gateways dial at
// the same moments.
func TestDialsOfTheFleetAreSpread(t *testing.T) {
	for _, gateways := range []int{3, 300, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			most, sum := countDials(gateways, func(i int) *Backoffs { return DecorrelatedBackoffs(gateways, uint64(i)) })
			limit := 7 * max(fleetDialRate, float64(gateways)/maxBackoff) * 2.2
			if float64(sum) > limit || most > 8+5*sum/700 {
				t.Errorf("%d dials in 7 s, want at most %.0f; up to %d dials in a hundredth of a second", sum, limit, most)
			}
			if most, _ := countDials(gateways, func(int) *Backoffs { return ExponentialBackoffs() }); most != gateways {
				t.Errorf("exponential backoff: at most %d of %d gateways dial at the same moment, want all", most, gateways)
			}
		})
	}
}
