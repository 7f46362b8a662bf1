package replication

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	// snapshotSpacing is the least time between two snapshots at one server that are made because logs are long, in seconds.
	snapshotSpacing = 0.2
	// One in keptLogDivisor of the entries that a log may have stays behind a snapshot, for replicas that are a little behind.
	keptLogDivisor = 8
	// A snapshot on its way is waited for transferTimeout seconds and transferSlack times as long as it should take.
	transferTimeout = 3
	transferSlack   = 10
)

// snapshots is how far a replica's log is replaced by snapshots.
type snapshots struct {
	index       uint64 // of the last snapshot
	compactedTo uint64 // index of the last entry that was removed from the log
	// forced: the last snapshot is older than the membership. One that is told to begin with a snapshot in which it has no place
	// does not take it.
	forced    bool
	unwritten *Write
}

// install takes a snapshot that came from the leader.
func (r *replica) install(snapshot *pb.Snapshot) {
	if err := r.restore(snapshot); err != nil {
		r.node.fail(err)
		return
	}
	r.node.logf("group %d: restored from a snapshot, %d counters, index %d", r.group, r.state.CounterCount(), r.applied)
}

// compact has a snapshot take the place of a long log.
func (r *replica) compact() {
	s := &r.snapshots
	maxEntries := uint64(r.node.config.MaxLogEntries)
	entries := r.applied - min(r.applied, s.index)
	isLong := entries >= maxEntries
	if s.unwritten != nil || r.applied <= s.index || !isLong && !s.forced {
		return
	}
	// Guards against all groups, whose logs grow alike, making snapshots in the same moment: adds wait meanwhile.
	if r.node.now < r.node.lastSnapshotAt+snapshotSpacing && entries < 2*maxEntries && !s.forced {
		return
	}
	r.node.lastSnapshotAt = r.node.now
	s.forced = false
	snapshot, err := r.log.CreateSnapshot(r.applied, r.members, r.state.Snapshot())
	if err != nil {
		r.node.fail(err)
		return
	}
	compactTo := s.compactedTo
	if isLong {
		compactTo = r.applied - maxEntries/keptLogDivisor
		_ = r.log.Compact(compactTo) // an error says that the log begins later already
		s.compactedTo = compactTo
	}
	s.index = r.applied
	s.unwritten = &Write{Group: r.group, Snapshot: snapshot, CompactTo: compactTo}
}

// transferBegins notes a snapshot that is being sent, and until when it is waited for.
func (r *replica) transferBegins(m *pb.Message) {
	bytes := float64(len(m.GetSnapshot().GetData()))
	r.transfers[m.GetTo()] = r.node.now + transferTimeout + transferSlack*bytes/r.node.config.SnapshotRate
}

// transferFailed says that a snapshot has not got there; another may be sent.
func (r *replica) transferFailed(id uint64) {
	delete(r.transfers, id)
	r.raft.ReportSnapshot(id, raft.SnapshotFailure)
}

// failLateTransfers gives up snapshots that were waited for long enough.
func (r *replica) failLateTransfers(now float64) {
	for _, id := range sortedKeys(r.transfers) {
		if now > r.transfers[id] {
			r.transferFailed(id)
		}
	}
}

// isTransferring reports whether a group led here is being replicated to a new member: one after another, as each costs all others
// time.
func (n *Node) isTransferring() bool {
	for r := range n.localReplicas {
		if r.leadership.leads && len(r.members.Learners) > 0 {
			return true
		}
	}
	return false
}
