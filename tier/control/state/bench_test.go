package state

import (
	"testing"

	"otterseam/tier/directory"
)

func BenchmarkApply(b *testing.B) {
	host := directory.Host{ID: "h", Service: "s", Address: "a:1", Zone: "z", Models: `["m"]`}
	for name, command := range map[string]Command{
		"heartbeat": PutHost{Host: host, Seq: 1},
		"config":    ReplaceConfig{Version: 1, Body: make([]byte, 2000)},
	} {
		b.Run(name, func(b *testing.B) {
			s, encoded := New(), command.Encode()
			b.ReportAllocs()
			index := uint64(0)
			for b.Loop() {
				index++
				s.Apply(index, encoded)
			}
		})
	}
}
