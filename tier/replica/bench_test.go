package replica

import (
	"runtime"
	"testing"
)

// liveBytes is what the heap holds after a collection.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkPrimaryWithASilentReplica takes 100,000 changes of 10 KB while a replica that acknowledged once says nothing, and reports
// what the heap holds after a tenth of them and after all.
func BenchmarkPrimaryWithASilentReplica(b *testing.B) {
	const (
		changes     = 100_000
		changeBytes = 10 << 10
	)
	for b.Loop() {
		g := newPrimaryOfTwo(b, Options{RetainedBytes: 8 << 20})
		before := liveBytes()
		early := uint64(0)
		for i := range changes {
			now := int64(11 + i)
			index := g.Propose(make([]byte, changeBytes), now)
			g.MarkDurable(index, 1, now)
			if i%40 == 0 {
				g.Tick(now, true)
			}
			g.TakeOutput()
			g.Trim()
			if i == changes/10 {
				early = liveBytes()
			}
		}
		b.ReportMetric(float64(int64(early-before))/(1<<20), "MB-after-10000")
		b.ReportMetric(float64(int64(liveBytes()-before))/(1<<20), "MB-after-100000")
		runtime.KeepAlive(g)
	}
}
