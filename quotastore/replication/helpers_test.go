package replication

import (
	"fmt"
	"testing"
)

var testConfig = Config{Groups: 4, Replicas: 3, MaxLogEntries: 64, SnapshotRate: 1e6, ReplaceAfter: 5}

const testIncarnation = 9

// peers is a list of n servers in so many zones.
func peers(n, zones int) (all []Peer) {
	for i := range n {
		all = append(all, Peer{Name: fmt.Sprint("k", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return all
}

func anyone(int) bool { return true }

// newNode is server 0 of three, of a cluster or (0) of none yet.
func newNode(t *testing.T, cluster uint64) *Node {
	t.Helper()
	n, err := New(0, testIncarnation, cluster, peers(3, 3), testConfig, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
