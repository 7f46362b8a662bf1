package replication

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Write is what has to be durable for one group before anything is sent that rests on it. Parts of it apply in the order of
// PersistentState.Apply.
type Write struct {
	Group       int
	HardState   *pb.HardState // nil: unchanged
	Entries     []*pb.Entry   // replace what the log has from the index of the first on
	Snapshot    *pb.Snapshot  // nil: none
	CompactTo   uint64        // with Snapshot: entries up to this index go
	ReplaceLog  bool          // with Snapshot: all entries go
	DropReplica bool          // all but the hard state goes
}

// PersistentState is what a replica had written when its process ended.
type PersistentState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Apply brings a state to what it is after a write. Stores that keep it in another form do the same to theirs.
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

// deleteEntries makes a new slice, as states that share the old one keep theirs.
func (s *PersistentState) deleteEntries(matches func(index uint64) bool) {
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return matches(e.GetIndex()) })
}

// AfterSnapshot returns what a start needs: the entries that the snapshot does not contain.
func (s *PersistentState) AfterSnapshot() *PersistentState {
	trimmed := *s
	if s.Snapshot != nil {
		last := s.Snapshot.GetMetadata().GetIndex()
		trimmed.deleteEntries(func(index uint64) bool { return index <= last })
	}
	return &trimmed
}
