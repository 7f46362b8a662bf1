package multigroup

import (
	"testing"

	"pgregory.net/rapid"
)

// A disk that does not end a write in time is degraded while the write is under way, and for a while after it.
func TestAStalledDiskIsDegradedUntilItWorksAgain(t *testing.T) {
	var d DiskMonitor
	d.BeginWrite(1000)
	if d.Degraded(1000 + diskStalledAfter) {
		t.Fatal("degraded too soon")
	}
	if !d.Degraded(1001 + diskStalledAfter) {
		t.Fatal("a stalled disk is trusted")
	}
	d.BeginWrite(1200) // the same write is tried again
	d.EndWrite(9000)
	if !d.Degraded(9000 + diskTrustedAfter) {
		t.Fatal("trusted again at once")
	}
	if d.Degraded(9001 + diskTrustedAfter) {
		t.Fatal("not trusted though it works")
	}
}

// A late write counts although nobody asked while it was under way.
func TestALateWriteThatHasEndedCounts(t *testing.T) {
	var d DiskMonitor
	d.BeginWrite(1000)
	d.EndWrite(1001 + diskStalledAfter)
	if !d.Degraded(1002 + diskStalledAfter) {
		t.Fatal("a disk that was stalled a moment ago is trusted")
	}
}

// However slow a disk is, one that ends each write in time is never degraded.
func TestASlowDiskThatEndsItsWritesIsTrusted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d DiskMonitor
		now := int64(1000)
		for range rapid.IntRange(1, 100).Draw(rt, "writes") {
			d.BeginWrite(now)
			now += int64(rapid.IntRange(0, diskStalledAfter).Draw(rt, "takes"))
			if d.Degraded(now) {
				rt.Fatal("degraded within a write that ends in time")
			}
			d.EndWrite(now)
			now += int64(rapid.IntRange(0, 50).Draw(rt, "rest"))
			if d.Degraded(now) {
				rt.Fatal("degraded though each write ended in time")
			}
		}
	})
}
