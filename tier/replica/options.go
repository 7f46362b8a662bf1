package replica

// The values that stand for options which are 0.
const (
	// DefaultRetainedEntries is how many applied entries stay in memory.
	DefaultRetainedEntries = 128
	// DefaultRetainedBytes is how many bytes of applied entries stay in memory.
	DefaultRetainedBytes = 256 << 10
	// DefaultSnapshotChunkBytes is the size of one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 32 << 10
)

// Options tune a group. The zero value is a group with the defaults above, without bound on transfers and without contact.
type Options struct {
	// EagerCommit has a primary send each commit index to its backups at once instead of with the next entry or heartbeat, for
	// groups whose backups serve reads of their own.
	EagerCommit bool
	// RetainedEntries is how many applied entries stay in memory for replicas that lag; those that lag further get a snapshot.
	// 0 means DefaultRetainedEntries.
	RetainedEntries uint64
	// RetainedBytes is how many bytes of applied entries stay in memory for replicas that lag. It also bounds what a primary
	// holds that is not committed. 0 means DefaultRetainedBytes.
	RetainedBytes int
	// SnapshotChunkBytes is the size of one chunk of a snapshot. 0 means DefaultSnapshotChunkBytes.
	SnapshotChunkBytes int
	// TransferSlots bounds the snapshots sent at once together with other groups; nil means no bound.
	TransferSlots *TransferSlots
	// Incarnation is a number drawn for the present run of the process. With one, the group keeps contact: its primary can prove
	// that a majority answers it, and its backups that such a primary does. 0 means that no contact is kept.
	Incarnation uint64
	// StepDownAfter is how many milliseconds a primary goes on without the answers of a majority; 0 means for ever.
	StepDownAfter int64
}

// withDefaults fills in what is 0 and has a default.
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
