package consensus

import "testing"

// Two founders among five seeds found three of them each, with one in common, which answers neither. A majority of each list would
// decide a record of its own.
func TestConcurrentBootstrapsNeverDecideTwoRecords(t *testing.T) {
	c, all := newCluster(1, 5)
	common := c.acceptors[3]
	c.set(3, nil)
	lists := [][]Member{{all.Members[0], all.Members[1], all.Members[2]}, {all.Members[2], all.Members[3], all.Members[4]}}
	for i, list := range lists {
		record, err := c.proposer(uint64(10+i), firstIncarnation()).Bootstrap(t.Context(), list, len(all.Members), addMark(uint64(i+1), 0, 0))
		if err == nil {
			t.Fatalf("founder %d decided %+v with two of five seeds", i, record)
		}
	}
	c.set(3, common)
	first, err := c.proposer(10, firstIncarnation()).Bootstrap(t.Context(), lists[0], len(all.Members), addMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.proposer(11, firstIncarnation()).Bootstrap(t.Context(), lists[1], len(all.Members), func(current Record, _ map[uint64]bool) (Record, bool) {
		return current, false
	})
	if err != nil || !second.Equal(first) {
		t.Fatalf("one founder decided %+v, the other %+v, %v", first, second, err)
	}
}
