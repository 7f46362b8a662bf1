package replication

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Write is a change of the persistent state of one group that must be durable before messages that depend on it are sent.
// PersistentState.Apply defines the order in which its parts take effect.
type Write struct {
	Group       int
	HardState   *pb.HardState // nil: unchanged
	Entries     []*pb.Entry   // replace the entries of the log from the index of the first on
	Snapshot    *pb.Snapshot  // nil: none
	CompactTo   uint64        // with Snapshot: entries up to this index are deleted
	ReplaceLog  bool          // with Snapshot: all entries are deleted
	DropReplica bool          // everything except the hard state is deleted
}

// PersistentState is the durable state of a replica.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Apply applies a write to the state. Storage that keeps the state in another form must apply writes in the same way.
func (s *PersistentState) Apply(w *Write) {
	if w.DropReplica {
		*s = PersistentState{}
	}
	if w.HardState != nil {
		s.HardState = w.HardState
	}
	if w.Snapshot != nil {
		s.Snapshot = w.Snapshot
		s.deleteEntries(func(index uint64) bool { return w.ReplaceLog || index <= w.CompactTo })
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		s.deleteEntries(func(index uint64) bool { return index >= first })
		s.Entries = append(s.Entries, w.Entries...)
	}
}

// deleteEntries deletes the entries whose index matches. It makes a new slice because other states may share the old one.
func (s *PersistentState) deleteEntries(matches func(index uint64) bool) {
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return matches(e.GetIndex()) })
}

// AfterSnapshot returns the state without the entries that the snapshot contains, which a restart doesn't need.
func (s *PersistentState) AfterSnapshot() *PersistentState {
	trimmed := *s
	if s.Snapshot != nil {
		last := s.Snapshot.GetMetadata().GetIndex()
		trimmed.deleteEntries(func(index uint64) bool { return index <= last })
	}
	return &trimmed
}
