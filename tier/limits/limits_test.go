package limits

import (
	"testing"

	"otterseam/tier/settings"
)

func TestSharesLeaveRoom(t *testing.T) {
	for _, s := range []settings.Settings{{}, {MemoryMB: 64, MaxFDs: 300, DiskMB: 50}, {MemoryMB: 284, MaxFDs: 8200, DiskMB: 300}} {
		l := Of(&s)
		if l.ClientBytes()+l.ProbeBytes() > l.RuntimeBytes()*2/3 {
			t.Errorf("%+v: clients may use %d of %d bytes", s, l.ClientBytes(), l.RuntimeBytes())
		}
		if held := l.ClientBytes() + l.ProbeBytes() + l.HostBytes() + 2*l.CommandBytes(); held > l.RuntimeBytes()*9/10 {
			t.Errorf("%+v: a proxy may hold %d of %d bytes", s, held, l.RuntimeBytes())
		}
		// the state, its snapshots for replicas, and the two copies of a compaction
		if 4*l.RetainedBytes()+2*l.CommandBytes() > l.RuntimeBytes() {
			t.Errorf("%+v: the copies of the state take more than %d bytes", s, l.RuntimeBytes())
		}
		if l.diskBytes > 0 && 3*l.RetainedBytes() > l.diskBytes {
			t.Errorf("%+v: the journal takes more than %d bytes", s, l.diskBytes)
		}
		if free := l.descriptors - l.ClientConnections() - l.ProbeConnections(); free < l.descriptors/8 {
			t.Errorf("%+v: only %d descriptors are free", s, free)
		}
	}
}

// The pages' example of a machine has room for hundreds of ordinary turns and for large bodies.
func TestDefaultsExceedOrdinaryUse(t *testing.T) {
	l := Of(&settings.Settings{})
	if l.ClientConnections() < 2500 || l.RetainedBytes() < 32<<20 || l.ClientBytes() < 100<<20 || l.Programs() < 40_000 {
		t.Errorf("%d connections, %d retained bytes, %d bytes of clients, %d programs",
			l.ClientConnections(), l.RetainedBytes(), l.ClientBytes(), l.Programs())
	}
}
