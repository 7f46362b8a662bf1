package statemachine

import (
	"math"
	"testing"
)

// A leader whose clock is set back stamps batches with earlier times. The group's clock stands still meanwhile, so that no counter
// expires early, and none lives longer than by the time that the clock stood still.
func TestClockNeverGoesBack(t *testing.T) {
	s := New()
	apply(s, 100, Command{Kind: Add, Key: "n", Amount: 1, TTL: 2})
	apply(s, 5, Command{Kind: Add, Key: "m", Amount: 1, TTL: 2})
	for _, clock := range []float64{5, math.NaN(), math.Inf(1), math.Inf(-1)} {
		apply(s, clock, Command{Kind: Tick})
		if s.Clock != 100 {
			t.Fatalf("clock %v after a batch of clock %v", s.Clock, clock)
		}
	}
	apply(s, 101.9, Command{Kind: Tick})
	if _, ok := s.Total("m"); !ok {
		t.Fatal("a counter expired before the end of its time to live")
	}
	if r := apply(s, 102.1, Command{Kind: Add, Key: "n", Amount: 4, TTL: 2}); r.Total != 4 {
		t.Fatalf("an add to an expired counter gives total %v, want 4", r.Total)
	}
}

// Reports of a holder arrive out of order: only one with a newer version than the last changes the total.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	s := New()
	for _, report := range []struct {
		name    string
		amount  float64
		version uint64
		want    float64
	}{
		{"the first", 9, 3, 9},
		{"an older one", 4, 2, 9},
		{"a newer one with a lower total", 6, 4, 6},
	} {
		r := apply(s, 0, Command{Kind: ReportUsage, Key: "n", Holder: "h", Amount: report.amount, Version: report.version, TTL: 60})
		if r.Total != report.want {
			t.Fatalf("%s: total %v, want %v", report.name, r.Total, report.want)
		}
	}
}
