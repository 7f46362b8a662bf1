package programs

import (
	"fmt"
	"testing"
)

// largeState returns a state of about ten megabytes: programs with one retained turn each.
func largeState() *shard {
	s := newShard()
	text := string(make([]byte, 2<<10))
	for i := range 2500 {
		name := fmt.Sprint("program-", i)
		s.begin("turn-"+name, name, 1000, 10, "")
		s.end("turn-"+name, name, 10, "", text, text)
	}
	return s
}

// BenchmarkSnapshot measures how long a state of ten megabytes is blocked while its snapshot for a transfer is taken.
func BenchmarkSnapshot(b *testing.B) {
	s := largeState()
	for b.Loop() {
		b.SetBytes(int64(len(s.state.Snapshot())))
	}
}

// BenchmarkRestore measures how long a member takes to install a snapshot of ten megabytes.
func BenchmarkRestore(b *testing.B) {
	snapshot := largeState().state.Snapshot()
	b.SetBytes(int64(len(snapshot)))
	for b.Loop() {
		if err := NewState().Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
