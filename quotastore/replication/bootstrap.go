package replication

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Bootstrap takes part in the bootstrap of a cluster, and returns what has to be written first. One that belongs to a cluster, or has
// another incarnation by now, does not: it might be asked to begin anew what others still hold. One that heard of this cluster by
// those bootstrapped before it, and has no replica yet, takes its part: else what a bootstrap from a snapshot was answered for would
// lie on the others alone until it is replicated. The error is an OtherClusterError, a BootstrapMismatchError, or of a snapshot.
func (n *Node) Bootstrap(now float64, f *protocol.Bootstrap) ([]Write, error) {
	if n.cluster == f.Cluster && n.cluster != 0 && n.hasReplicas() {
		return nil, nil
	}
	if err := n.checkBootstrap(f); err != nil {
		return nil, err
	}
	n.now = now
	n.learnIncarnations(f.Members)
	var writes []Write
	for group := range f.Groups {
		voters := n.firstVoters(group, f.Members)
		if !slices.Contains(voters, uint64(n.id)) {
			continue
		}
		w, err := n.bootstrapReplica(group, voters, f.Snapshots)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	n.cluster = f.Cluster
	n.nextHello = 0
	n.nextAnnounce = 0
	return writes, nil
}

func (n *Node) checkBootstrap(f *protocol.Bootstrap) error {
	if n.cluster != 0 && n.cluster != f.Cluster || n.hasReplicas() { // it may hold what was said to it before it wrote to which cluster it belongs
		return &OtherClusterError{Number: n.self, Cluster: n.cluster}
	}
	if f.Cluster == 0 || f.Groups != n.config.Groups || f.Replicas != n.config.Replicas || !slices.Contains(f.Members, n.id) {
		return &BootstrapMismatchError{Number: n.self, Incarnation: n.id.Incarnation()}
	}
	return nil
}

// learnIncarnations takes up the incarnations of servers of which nothing was heard yet.
func (n *Node) learnIncarnations(members []protocol.ReplicaID) {
	for _, id := range members {
		number := id.Number()
		if number >= 0 && number < len(n.status) && n.status[number].incarnation == 0 {
			n.status[number].incarnation = id.Incarnation()
		}
	}
}

// firstVoters is who has the replicas of a group after a bootstrap of these members, in order.
func (n *Node) firstVoters(group int, members []protocol.ReplicaID) []uint64 {
	isMember := func(number int) bool {
		return slices.ContainsFunc(members, func(id protocol.ReplicaID) bool { return id.Number() == number })
	}
	var voters []uint64
	for _, number := range PlaceReplicas(group, n.peers, n.config.Replicas, isMember) {
		for _, id := range members {
			if id.Number() == number {
				voters = append(voters, uint64(id))
			}
		}
	}
	slices.Sort(voters)
	return voters
}

// bootstrapReplica makes the first replica of a group here, of a snapshot if there are snapshots. All begin with the same
// Raft snapshot of index and term 1.
func (n *Node) bootstrapReplica(group int, voters []uint64, snapshots map[int][]byte) (Write, error) {
	var data []byte
	if snapshots == nil {
		data = statemachine.New().Snapshot()
	} else {
		if _, err := statemachine.Restore(snapshots[group]); err != nil {
			return Write{}, fmt.Errorf("group %d of the snapshot: %w", group, err)
		}
		data = snapshots[group]
	}
	members := &pb.ConfState{Voters: voters}
	snapshot := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: members, Index: new(uint64(1)), Term: new(uint64(1))}}
	hardState := &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}
	r, err := newReplica(n, group, &PersistentState{HardState: hardState, Snapshot: snapshot})
	if err != nil {
		return Write{}, err
	}
	n.replicas[group] = r
	return Write{Group: group, HardState: hardState, Snapshot: snapshot, ReplaceLog: true}, nil
}
