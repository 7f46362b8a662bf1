package choice

import "testing"

func TestEstimateIsAddedThenSent(t *testing.T) {
	f := newFake(t, Plan{Name: "p", Rate: 2, Burst: 10})
	inv := f.take(3, 2)
	f.wantCall(3)
	f.total(3)
	f.wantSent(inv, 1)
}

func TestThrottledWhenOverAndEstimateTakenOff(t *testing.T) {
	f := newFake(t, Plan{Name: "p", Rate: 2, Burst: 10})
	inv := f.take(4, 2)
	f.wantCall(4)
	f.total(12) // others have 8 of the 10
	f.wantCall(-4)
	if a := f.last[inv]; a.Do != Throttle || a.RetryAfter < 0.9 || a.RetryAfter > 1.1 {
		t.Fatalf("want a throttling that says 1 s, got %+v", a)
	}
}
