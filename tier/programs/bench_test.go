package programs

import (
	"fmt"
	"testing"
)

// bulkState is a state of about ten megabytes: programs with one retained turn each.
func bulkState() *shard {
	s := newShard()
	text := string(make([]byte, 2<<10))
	for i := range 2500 {
		name := fmt.Sprint("program-", i)
		s.begin("turn-"+name, name, 1000, 10, "")
		s.end("turn-"+name, name, 10, "", text, text)
	}
	return s
}

// BenchmarkSnapshot measures how long a state of ten megabytes is held for a transfer to begin.
func BenchmarkSnapshot(b *testing.B) {
	s := bulkState()
	for b.Loop() {
		b.SetBytes(int64(len(s.state.Snapshot())))
	}
}

// BenchmarkRestore measures how long a member takes to install such a state.
func BenchmarkRestore(b *testing.B) {
	snapshot := bulkState().state.Snapshot()
	b.SetBytes(int64(len(snapshot)))
	for b.Loop() {
		if err := NewState().Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
