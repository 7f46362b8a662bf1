package multigroup

const (
	// diskStallThreshold is how long a write may take, retries included, before the disk counts as stalled, in milliseconds. Other
	// replicas remove a replica that does not acknowledge from the in-sync set after about the same time.
	diskStallThreshold = 500
	// diskRecoveryPeriod is how long a disk that was stalled has to complete its writes in time before it counts as healthy again, in
	// milliseconds.
	diskRecoveryPeriod = 3000
)

// DiskMonitor detects a degraded disk by the duration of its writes. A process whose disk is full, stalled or very slow should not
// be a primary, since its clients would wait until they time out. DiskMonitor reads no clock: its methods take the time of the
// monotonic clock, in milliseconds.
type DiskMonitor struct {
	writeStartedAt int64 // start of the current write, 0 if there is none
	degraded       bool
	lastStalledAt  int64 // when the disk was last found stalled
}

// BeginWrite records the start of a write. A retry belongs to the same write and does not change its start.
func (d *DiskMonitor) BeginWrite(now int64) {
	if d.writeStartedAt == 0 {
		d.writeStartedAt = now
	}
}

// EndWrite records that the current write is durable.
func (d *DiskMonitor) EndWrite(now int64) {
	if d.isLate(now) {
		d.degraded = true
		d.lastStalledAt = now
	}
	d.writeStartedAt = 0
}

func (d *DiskMonitor) isLate(now int64) bool {
	return d.writeStartedAt > 0 && now-d.writeStartedAt > diskStallThreshold
}

// Degraded reports whether the disk is stalled or was stalled recently, so that other processes should be primary instead.
func (d *DiskMonitor) Degraded(now int64) bool {
	if d.isLate(now) {
		d.degraded = true
		d.lastStalledAt = now
	}
	if d.degraded && d.writeStartedAt == 0 && now-d.lastStalledAt > diskRecoveryPeriod {
		d.degraded = false
	}
	return d.degraded
}
