package statemachine

import "testing"

// BenchmarkApply applies batches of the commands that gateways send most often.
func BenchmarkApply(b *testing.B) {
	s := New()
	s.Apply(&Batch{Commands: []Command{{Kind: OpenSession, Session: "s"}}})
	n := uint64(0)
	for b.Loop() {
		n++
		s.Apply(&Batch{Clock: float64(n) * 1e-5, Commands: []Command{
			{Kind: Add, Session: "s", Sequence: n, AckedBelow: n, Key: "n", Amount: 1, TTL: 60},
			{Kind: ReportUsage, Key: "p", Holder: "h", Amount: float64(n), Version: n, TTL: 60},
			{Kind: RecordUnreported, Key: "p", Holder: "h", Amount: float64(n), Version: n, TTL: 60},
			{Kind: MeterUsage, Key: "c", Holder: "h", Amount: float64(n)},
			{Kind: AcquireMarker, Key: "m", Holder: "h", TTL: 60},
			{Kind: ReleaseMarker, Key: "m", Holder: "h"},
		}})
	}
}
