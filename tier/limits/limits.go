// Package limits divides the memory, the descriptors and the disk that a process may use among what it holds. The shares are fixed: what
// the runtime and the buffers in between need is left over in each of them.
package limits

import "otterseam/tier/settings"

// The limits of a process whose settings name none.
const (
	defaultMemoryMB    = 284
	defaultDescriptors = 4100
)

const (
	bytesPerMB = 1 << 20
	// maxReservedDescriptors is the number of descriptors that are left to files, by the platform's terms.
	maxReservedDescriptors = 200
	// programBytes is the estimated memory of a program in the state of a shard, without its retained turns.
	programBytes = 1 << 10
	// journalSlackBytes is the disk space that the journal may use before it is compacted, whatever the size of the state.
	journalSlackBytes = 40 << 20
	// journalCopies is how often the state may be on disk: twice the state before the journal is compacted, and the new copy, with a
	// quarter to spare.
	journalCopies = 4
)

// Limits are the limits of one process.
type Limits struct {
	memoryBytes int64
	descriptors int
	diskBytes   int64 // 0 if the disk is not limited
}

// Of returns the limits in the settings of a process.
func Of(s *settings.Settings) Limits {
	l := Limits{memoryBytes: int64(s.MemoryMB) * bytesPerMB, descriptors: s.MaxFDs, diskBytes: int64(s.DiskMB) * bytesPerMB}
	if l.memoryBytes <= 0 {
		l.memoryBytes = defaultMemoryMB * bytesPerMB
	}
	if l.descriptors <= 0 {
		l.descriptors = defaultDescriptors
	}
	return l
}

// RuntimeBytes returns the soft memory limit of the Go runtime.
func (l Limits) RuntimeBytes() int64 { return l.memoryBytes * 3 / 4 }

// ClientBytes returns the memory for everything that a process holds for the requests of clients.
func (l Limits) ClientBytes() int64 { return l.memoryBytes * 2 / 5 }

// HostBytes returns the memory for everything that a proxy holds for the responses of hosts.
func (l Limits) HostBytes() int64 { return l.memoryBytes / 6 }

// ProbeBytes returns the memory for readiness probes, which is apart from that for clients.
func (l Limits) ProbeBytes() int64 { return l.memoryBytes / 64 }

// sockets returns the number of descriptors that are not left to files.
func (l Limits) sockets() int { return l.descriptors - min(maxReservedDescriptors, l.descriptors/2) }

// ClientConnections returns the number of client connections. The rest of the descriptors is left to files, hosts and other processes.
func (l Limits) ClientConnections() int { return max(l.sockets()*3/4, 1) }

// ProbeConnections returns the number of connections of readiness probes, which are apart from those of clients.
func (l Limits) ProbeConnections() int { return max(l.sockets()/16, 1) }

// RetainedBytes returns the memory for the retained turns of all shards of a store. Snapshots and the journal hold copies of it.
func (l Limits) RetainedBytes() int64 {
	retained := l.memoryBytes / 8
	if l.diskBytes > 0 {
		retained = min(retained, max(l.diskBytes-journalSlackBytes, l.diskBytes/8)/journalCopies)
	}
	return retained
}

// Programs returns the number of programs of all shards of a store.
func (l Limits) Programs() int64 { return l.memoryBytes / 6 / programBytes }

// CommandBytes returns the memory for large commands that are being read, or wait to be committed.
func (l Limits) CommandBytes() int64 { return l.memoryBytes / 24 }
