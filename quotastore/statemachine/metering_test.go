package statemachine

import "testing"

// The billing job requests a batch, gets no response, requests the same batch again, and then the next one.
func TestMeteredUsageIsCollectedOnce(t *testing.T) {
	s := New()
	meter := func(holder string, units float64) {
		apply(s, s.Clock, Command{Kind: MeterUsage, Key: "cust", Holder: holder, Amount: units})
	}
	collect := func(batch uint64) (sum float64, code Code) {
		r := apply(s, s.Clock, Command{Kind: CollectUsage, Version: batch})
		for _, u := range r.Usage {
			sum += u.Units
		}
		return sum, r.Code
	}
	meter("a", 3)
	meter("b", 4)
	meter("a", 2) // an older total
	for _, step := range []struct {
		name  string
		more  float64 // of holder a
		batch uint64
		sum   float64
		code  Code
	}{
		{"first batch", 0, 1, 7, Done},
		{"the same batch again, after more was metered", 5, 1, 7, Done},
		{"a batch number is skipped", 0, 3, 0, Invalid},
		{"the next batch", 0, 2, 2, Done},
		{"a batch that was acknowledged", 0, 1, 0, Invalid},
	} {
		if step.more > 0 {
			meter("a", step.more)
		}
		if sum, code := collect(step.batch); sum != step.sum || code != step.code {
			t.Fatalf("%s: %v units and %v, want %v and %v", step.name, sum, code, step.sum, step.code)
		}
	}
	apply(s, expiredLeaseTTL+1, Command{Kind: Tick})
	if collect(3); len(s.Metering.ByHolder) != 0 {
		t.Fatal("collected usage is never deleted")
	}
}
