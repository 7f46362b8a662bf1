package replication

import (
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
)

func entries(indices ...uint64) (all []*pb.Entry) {
	for _, i := range indices {
		all = append(all, &pb.Entry{Index: new(i)})
	}
	return all
}

func indices(all []*pb.Entry) (list []uint64) {
	for _, e := range all {
		list = append(list, e.GetIndex())
	}
	return list
}

func snapshotAt(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: new(index)}}
}

func TestPersistentStateApply(t *testing.T) {
	for _, c := range []struct {
		name       string
		write      Write
		want       []uint64 // indices of the log
		afterStart []uint64 // indices that a restart needs
	}{
		{"entries at the end", Write{Entries: entries(6, 7)}, []uint64{3, 4, 5, 6, 7}, []uint64{3, 4, 5, 6, 7}},
		{"entries from another leader", Write{Entries: entries(4)}, []uint64{3, 4}, []uint64{3, 4}},
		{"a snapshot that keeps some entries", Write{Snapshot: snapshotAt(4), CompactTo: 3}, []uint64{4, 5}, []uint64{5}},
		{"a snapshot from the leader", Write{Snapshot: snapshotAt(9), ReplaceLog: true}, nil, nil},
		{"the replica is removed", Write{HardState: &pb.HardState{}, DropReplica: true}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &PersistentState{Entries: entries(3, 4, 5)}
			s.Apply(&c.write)
			if got := indices(s.Entries); !slices.Equal(got, c.want) {
				t.Errorf("the log has entries %v, want %v", got, c.want)
			}
			if got := indices(s.AfterSnapshot().Entries); !slices.Equal(got, c.afterStart) {
				t.Errorf("a restart needs entries %v, want %v", got, c.afterStart)
			}
		})
	}
}
