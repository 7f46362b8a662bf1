package replication

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	// snapshotSpacing is the minimum interval between two snapshots that one server makes because of the length of logs, in seconds.
	snapshotSpacing = 0.2
	// After a snapshot, MaxLogEntries / keptLogDivisor entries stay in the log for replicas that lag slightly.
	keptLogDivisor = 8
	// The timeout of a snapshot transfer is transferTimeout seconds plus transferSlack times the time it takes at the configured
	// rate.
	transferTimeout = 3
	transferSlack   = 10
)

// snapshots is the state of a replica's snapshots and of the compaction of its log.
type snapshots struct {
	index       uint64 // of the last snapshot
	compactedTo uint64 // index of the last entry that was removed from the log
	// forced has a snapshot made because the last one is older than the membership. A new replica rejects a snapshot whose
	// membership doesn't include it.
	forced    bool
	unwritten *Write
}

// install restores a snapshot received from the leader.
func (r *replica) install(snapshot *pb.Snapshot) {
	if err := r.restore(snapshot); err != nil {
		r.node.fail(err)
		return
	}
	r.node.logf("group %d: restored from a snapshot, %d counters, index %d", r.group, r.state.CounterCount(), r.applied)
}

// compact makes a snapshot and truncates the log, if the log is long or a snapshot is forced.
func (r *replica) compact() {
	s := &r.snapshots
	maxEntries := uint64(r.node.config.MaxLogEntries)
	entries := r.applied - min(r.applied, s.index)
	isLong := entries >= maxEntries
	if s.unwritten != nil || r.applied <= s.index || !isLong && !s.forced {
		return
	}
	// The logs of all groups grow at a similar rate. Without spacing all groups would make snapshots at the same time, which delays
	// commands.
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
		_ = r.log.Compact(compactTo) // an error means that the log already starts later
		s.compactedTo = compactTo
	}
	s.index = r.applied
	s.unwritten = &Write{Group: r.group, Snapshot: snapshot, CompactTo: compactTo}
}

// beginTransfer sets the deadline of a snapshot that is being sent.
func (r *replica) beginTransfer(m *pb.Message) {
	bytes := float64(len(m.GetSnapshot().GetData()))
	r.transfers[m.GetTo()] = r.node.now + transferTimeout + transferSlack*bytes/r.node.config.SnapshotRate
}

// failTransfer reports to the Raft library that a snapshot was not delivered, after which it may send another one.
func (r *replica) failTransfer(id uint64) {
	delete(r.transfers, id)
	r.raft.ReportSnapshot(id, raft.SnapshotFailure)
}

// expireTransfers fails the snapshot transfers whose deadline has passed.
func (r *replica) expireTransfers(now float64) {
	for _, id := range sortedKeys(r.transfers) {
		if now > r.transfers[id] {
			r.failTransfer(id)
		}
	}
}

// isTransferring reports whether a group led by this server is being replicated to a new member. Groups are replicated one after
// another because each transfer delays the other groups.
func (n *Node) isTransferring() bool {
	for r := range n.localReplicas {
		if r.leadership.leads && len(r.members.Learners) > 0 {
			return true
		}
	}
	return false
}
