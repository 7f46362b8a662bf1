package multigroup

const (
	// diskStalledAfter is how long a write may take, or be tried again, before the disk counts as stalled, in milliseconds. Other
	// members drop a replica that does not acknowledge at about the same time.
	diskStalledAfter = 500
	// diskTrustedAfter is how long a disk that was stalled has to do its work before it is trusted again, in milliseconds.
	diskTrustedAfter = 3000
)

// DiskMonitor judges a disk by how long its writes take. A member whose disk is full, stalled or very slow should not lead: whoever
// waits for it waits in vain. It is pure: the time goes in by the steady clock.
type DiskMonitor struct {
	begunAt  int64 // of the write under way, 0 for none
	troubled bool
	calmFrom int64 // since when the disk has done its work again
}

// BeginWrite notes that a write begins. A write that is tried again goes on.
func (d *DiskMonitor) BeginWrite(now int64) {
	if d.begunAt == 0 {
		d.begunAt = now
	}
}

// EndWrite notes that the write under way has reached the disk.
func (d *DiskMonitor) EndWrite(now int64) {
	if d.isLate(now) {
		d.troubled = true
		d.calmFrom = now
	}
	d.begunAt = 0
}

func (d *DiskMonitor) isLate(now int64) bool {
	return d.begunAt > 0 && now-d.begunAt > diskStalledAfter
}

// Degraded tells whether the member should leave leads to others.
func (d *DiskMonitor) Degraded(now int64) bool {
	if d.isLate(now) {
		d.troubled = true
		d.calmFrom = now
	}
	if d.troubled && d.begunAt == 0 && now-d.calmFrom > diskTrustedAfter {
		d.troubled = false
	}
	return d.troubled
}
