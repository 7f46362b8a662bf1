package replication

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Bootstrap makes this server a member of a new cluster and creates its replicas. It returns the writes that must be durable before
// the bootstrap is answered. A server that belongs to another cluster, or whose incarnation the bootstrap doesn't name, returns an
// error: other servers may still hold the data that the bootstrap would replace. A server that has joined this cluster through a
// message of another member but has no replica yet creates its replicas all the same. Otherwise the state of a bootstrap from a
// snapshot would be on the other servers alone after the bootstrap was answered, until it is replicated. The error is an
// OtherClusterError, a BootstrapMismatchError, or that of an invalid snapshot.
func (n *Node) Bootstrap(now float64, b *protocol.Bootstrap) ([]Write, error) {
	if n.cluster == b.Cluster && n.cluster != 0 && n.hasReplicas() {
		return nil, nil
	}
	if err := n.checkBootstrap(b); err != nil {
		return nil, err
	}
	n.now = now
	n.learnIncarnations(b.Members)
	var writes []Write
	for group := range b.Groups {
		voters := n.initialVoters(group, b.Members)
		if !slices.Contains(voters, uint64(n.id)) {
			continue
		}
		w, err := n.bootstrapReplica(group, voters, b.Snapshots)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	n.cluster = b.Cluster
	n.nextHello = 0
	n.nextAnnounce = 0
	return writes, nil
}

func (n *Node) checkBootstrap(b *protocol.Bootstrap) error {
	if n.cluster != 0 && n.cluster != b.Cluster || n.hasReplicas() { // a server with replicas but no cluster may have stopped before it wrote its cluster
		return &OtherClusterError{Number: n.self, Cluster: n.cluster}
	}
	if b.Cluster == 0 || b.Groups != n.config.Groups || b.Replicas != n.config.Replicas || !slices.Contains(b.Members, n.id) {
		return &BootstrapMismatchError{Number: n.self, Incarnation: n.id.Incarnation()}
	}
	return nil
}

// learnIncarnations sets the incarnations of servers whose incarnation is not known yet.
func (n *Node) learnIncarnations(members []protocol.ReplicaID) {
	for _, id := range members {
		number := id.Number()
		if number >= 0 && number < len(n.status) && n.status[number].incarnation == 0 {
			n.status[number].incarnation = id.Incarnation()
		}
	}
}

// initialVoters returns the IDs of the replicas of a group after a bootstrap with these members, in ascending order.
func (n *Node) initialVoters(group int, members []protocol.ReplicaID) []uint64 {
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

// bootstrapReplica creates the first replica of a group on this server, from the group's snapshot if there are snapshots. All replicas
// of the group start with the same Raft snapshot, with index and term 1.
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
