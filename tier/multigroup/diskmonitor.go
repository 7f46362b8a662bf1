package multigroup

const (
	// diskStalledAfter is how long a write may take, or be tried again, before the disk counts as stalled, in milliseconds. Other
	// replicas drop one that does not acknowledge at about the same time.
	diskStalledAfter = 500
	// diskTrustedAfter is how long a disk that was stalled has to do its work before it is trusted again, in milliseconds.
	diskTrustedAfter = 3000
)

// DiskMonitor judges a disk by how long its writes take. A process whose disk is full, stalled or very slow should not lead:
// whoever waits for it waits in vain. It is pure: the time goes in by the monotonic clock, in milliseconds.
type DiskMonitor struct {
	writeStartedAt int64 // of the write under way, 0 for none
	degraded       bool
	healthySince   int64 // since when the disk has done its work again
}

// BeginWrite notes that a write begins. A write that is tried again goes on.
func (d *DiskMonitor) BeginWrite(now int64) {
	if d.writeStartedAt == 0 {
		d.writeStartedAt = now
	}
}

// EndWrite notes that the write under way has reached the disk.
func (d *DiskMonitor) EndWrite(now int64) {
	if d.isLate(now) {
		d.degraded = true
		d.healthySince = now
	}
	d.writeStartedAt = 0
}

func (d *DiskMonitor) isLate(now int64) bool {
	return d.writeStartedAt > 0 && now-d.writeStartedAt > diskStalledAfter
}

// Degraded tells whether the process should leave leadership to others.
func (d *DiskMonitor) Degraded(now int64) bool {
	if d.isLate(now) {
		d.degraded = true
		d.healthySince = now
	}
	if d.degraded && d.writeStartedAt == 0 && now-d.healthySince > diskTrustedAfter {
		d.degraded = false
	}
	return d.degraded
}
