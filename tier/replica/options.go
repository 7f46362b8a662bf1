package replica

// The defaults of options that are 0.
const (
	// DefaultRetainedEntries is the number of applied entries retained in memory.
	DefaultRetainedEntries = 128
	// DefaultRetainedBytes is the size of the applied entries retained in memory.
	DefaultRetainedBytes = 256 << 10
	// DefaultSnapshotChunkBytes is the size of one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 32 << 10
)

// Options configures a group. The zero value uses the defaults above, doesn't limit snapshot transfers and sends no probes.
type Options struct {
	// EagerCommit makes a primary send each commit index to its backups at once instead of with the next entry or heartbeat. It is
	// meant for groups whose backups serve reads.
	EagerCommit bool
	// RetainedEntries is the number of applied entries retained in memory for lagging replicas. Replicas that lag further are sent
	// a snapshot. 0 means DefaultRetainedEntries.
	RetainedEntries uint64
	// RetainedBytes is the size of the applied entries retained in memory for lagging replicas. It also bounds the uncommitted
	// entries of a primary. 0 means DefaultRetainedBytes.
	RetainedBytes int
	// SnapshotChunkBytes is the size of one chunk of a snapshot. 0 means DefaultSnapshotChunkBytes.
	SnapshotChunkBytes int
	// TransferSlots limits the concurrent snapshot transfers of all groups that share it; nil means no limit.
	TransferSlots *TransferSlots
	// Incarnation is a random number that identifies this run of the process. If it is set, the group sends probes: its primary
	// can prove that a majority responds to it, and its backups that such a primary responds to them. 0 disables probes.
	Incarnation uint64
	// StepDownAfter is how many milliseconds a primary continues without responses of a majority; 0 means without limit.
	StepDownAfter int64
}

// withDefaults returns the options with unset ones replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.RetainedEntries == 0 {
		o.RetainedEntries = DefaultRetainedEntries
	}
	if o.RetainedBytes == 0 {
		o.RetainedBytes = DefaultRetainedBytes
	}
	if o.SnapshotChunkBytes == 0 {
		o.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	return o
}
