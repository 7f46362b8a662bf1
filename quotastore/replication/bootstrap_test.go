package replication

import (
	"errors"
	"testing"

	"otterseam/quotastore/protocol"
)

// testBootstrap returns a bootstrap of cluster 5 with the given incarnation of server 0.
func testBootstrap(incarnation uint32) *protocol.Bootstrap {
	return &protocol.Bootstrap{
		Cluster: 5, Groups: testConfig.Groups, Replicas: testConfig.Replicas,
		Members: []protocol.ReplicaID{protocol.NewReplicaID(0, incarnation), protocol.NewReplicaID(1, 1), protocol.NewReplicaID(2, 1)},
	}
}

// A server must reject a bootstrap that names its former incarnation or is for a different cluster: it may have lost its data and
// restarted while other servers still hold the data.
func TestBootstrapOfOtherIncarnationOrClusterIsRejected(t *testing.T) {
	for _, c := range []struct {
		name      string
		belongsTo uint64
		bootstrap *protocol.Bootstrap
		want      func(error) bool
	}{
		{"for a former incarnation", 0, testBootstrap(testIncarnation - 1), isError[*BootstrapMismatchError]},
		{"where it belongs to another cluster", 6, testBootstrap(testIncarnation), isError[*OtherClusterError]},
		{"for this incarnation", 0, testBootstrap(testIncarnation), func(err error) bool { return err == nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := newNode(t, c.belongsTo).Bootstrap(0, c.bootstrap); !c.want(err) {
				t.Fatalf("bootstrap returned %v", err)
			}
		})
	}
}

func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// The first server is bootstrapped, and its messages reach the other servers before the bootstrap does, as can happen on a busy machine.
// The other servers must create their replicas all the same. Otherwise the bootstrap is answered while only one server has the groups,
// until they are replicated.
func TestBootstrapAfterLearningClusterFromPeer(t *testing.T) {
	const incarnation = 7
	b := &protocol.Bootstrap{Cluster: 9, Groups: testConfig.Groups, Replicas: testConfig.Replicas}
	var nodes []*Node
	for i := range 3 {
		n, err := New(i, incarnation, 0, peers(3, 1), testConfig, uint64(i+1), nil)
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
		b.Members = append(b.Members, protocol.NewReplicaID(i, incarnation))
	}
	if _, err := nodes[0].Bootstrap(1, b); err != nil {
		t.Fatal(err)
	}
	nodes[0].Tick(1.1)
	for _, m := range nodes[0].TakeMessages() {
		nodes[m.To].Receive(1.1, 0, m.Frame)
	}
	for i, n := range nodes[1:] {
		if n.Cluster() != 9 {
			t.Fatalf("server %d has not joined the cluster", i+1)
		}
		writes, err := n.Bootstrap(1.2, b)
		if err != nil || len(writes) != testConfig.Groups {
			t.Errorf("server %d creates replicas of %d of %d groups: %v", i+1, len(writes), testConfig.Groups, err)
		}
		if again, err := n.Bootstrap(1.3, b); err != nil || len(again) > 0 {
			t.Errorf("a repeated bootstrap returned %d writes, error %v", len(again), err)
		}
		other := *b
		other.Cluster = 8
		if _, err := n.Bootstrap(1.3, &other); !isError[*OtherClusterError](err) {
			t.Errorf("another bootstrap returned %v", err)
		}
	}
}
