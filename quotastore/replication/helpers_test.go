package replication

import (
	"fmt"
	"testing"
)

var testConfig = Config{Groups: 4, Replicas: 3, MaxLogEntries: 64, SnapshotRate: 1e6, ReplaceAfter: 5}

const testIncarnation = 9

// peers returns a list of n servers that are distributed over a number of zones.
func peers(n, zones int) (all []Peer) {
	for i := range n {
		all = append(all, Peer{Name: fmt.Sprint("k", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return all
}

func anyServer(int) bool { return true }

// newNode returns server 0 of three, which belongs to the given cluster; 0: none yet.
func newNode(t *testing.T, cluster uint64) *Node {
	t.Helper()
	n, err := New(0, testIncarnation, cluster, peers(3, 3), testConfig, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
