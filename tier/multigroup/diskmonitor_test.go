package multigroup

import (
	"testing"

	"pgregory.net/rapid"
)

// A disk that does not complete a write in time is degraded during the write and for diskRecoveryPeriod after it.
func TestStalledDiskIsDegradedUntilRecovered(t *testing.T) {
	var d DiskMonitor
	d.BeginWrite(1000)
	if d.Degraded(1000 + diskStallThreshold) {
		t.Fatal("degraded before the threshold")
	}
	if !d.Degraded(1001 + diskStallThreshold) {
		t.Fatal("a stalled disk is not degraded")
	}
	d.BeginWrite(1200) // a retry of the same write
	d.EndWrite(9000)
	if !d.Degraded(9000 + diskRecoveryPeriod) {
		t.Fatal("not degraded before the recovery period is over")
	}
	if d.Degraded(9001 + diskRecoveryPeriod) {
		t.Fatal("degraded after the recovery period")
	}
}

// A late write degrades the disk even if Degraded was not called during the write.
func TestLateWriteDegradesDiskAfterItsEnd(t *testing.T) {
	var d DiskMonitor
	d.BeginWrite(1000)
	d.EndWrite(1001 + diskStallThreshold)
	if !d.Degraded(1002 + diskStallThreshold) {
		t.Fatal("a disk that was stalled just before is not degraded")
	}
}

// A disk that completes each write within the threshold is never degraded.
func TestDiskWithTimelyWritesIsNeverDegraded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d DiskMonitor
		now := int64(1000)
		for range rapid.IntRange(1, 100).Draw(rt, "writes") {
			d.BeginWrite(now)
			now += int64(rapid.IntRange(0, diskStallThreshold).Draw(rt, "takes"))
			if d.Degraded(now) {
				rt.Fatal("degraded during a write that ends in time")
			}
			d.EndWrite(now)
			now += int64(rapid.IntRange(0, 50).Draw(rt, "rest"))
			if d.Degraded(now) {
				rt.Fatal("degraded although each write ended in time")
			}
		}
	})
}
