package policy

import (
	"testing"

	"otterseam/gateway/overload"
)

func TestCeilingHoldsWithoutCounterAndAcrossRestarts(t *testing.T) {
	admitted := 0.0
	for range 4 { // four incarnations of 5 s
		f := newHarness(t, Plan{Name: "p", CeilingRate: 4, CeilingBurst: 40})
		f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
		for range 50 {
			if f.admits(1, 2) {
				admitted++
			}
			f.wait(0.1)
		}
	}
	if admitted < 20 || admitted > 40 { // this instance's half of 4 units/s for 20 s
		t.Fatalf("%v units admitted, want 20 to 40", admitted)
	}
}
