package replica

import (
	"runtime"
	"testing"
)

// liveBytes returns the size of the heap after a garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkPrimaryWithASilentReplica proposes 100,000 commands of 10 KB while a replica that acknowledged once is silent. It
// reports the heap growth after a tenth of the commands and after all of them.
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

// BenchmarkCommit measures the commit of commands of 1 KB on a primary with two backups: messages, writes and acknowledgements,
// without a network or a disk.
func BenchmarkCommit(b *testing.B) {
	view := View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}
	groups := map[uint64]*Group{}
	for _, id := range view.Replicas {
		g, err := NewGroup(id, &blobMachine{}, Snapshot{}, nil, Options{EagerCommit: true, Incarnation: 100 + id})
		if err != nil {
			b.Fatal(err)
		}
		groups[id] = g
	}
	now := int64(1000)
	committed := 0
	var exchange func(id uint64)
	exchange = func(id uint64) {
		g := groups[id]
		output := g.TakeOutput()
		for _, write := range output.Writes {
			g.WriteCompleted(write)
			last := write.Entries[len(write.Entries)-1]
			g.MarkDurable(last.Index, last.Epoch, now)
		}
		committed += len(output.Applied)
		for _, out := range output.Messages {
			groups[out.To].Step(id, out.Message, now)
			exchange(out.To)
		}
		if len(output.Writes) > 0 {
			exchange(id)
		}
		g.Trim()
	}
	groups[1].SetView(view, now)
	exchange(1)
	command := make([]byte, 1<<10)
	b.ReportAllocs()
	commands := 0
	for b.Loop() {
		now++
		groups[1].Propose(command, now)
		exchange(1)
		commands++
	}
	if committed != commands {
		b.Fatalf("%d of %d commands were committed", committed, commands)
	}
}
