package consensus

import "testing"

// Two processes bootstrap concurrently with three of five seeds each. The one seed in both lists answers neither of them. If a
// majority of each list sufficed, each process would decide its own record.
func TestConcurrentBootstrapsNeverDecideTwoRecords(t *testing.T) {
	c, all := newCluster(1, 5)
	common := c.acceptors[3]
	c.set(3, nil)
	lists := [][]Member{{all.Members[0], all.Members[1], all.Members[2]}, {all.Members[2], all.Members[3], all.Members[4]}}
	for i, list := range lists {
		record, err := c.proposer(uint64(10+i), firstIncarnationRounds()).Bootstrap(t.Context(), list, len(all.Members), appendMark(uint64(i+1), 0, 0))
		if err == nil {
			t.Fatalf("bootstrap %d decided %+v with two of five seeds", i, record)
		}
	}
	c.set(3, common)
	first, err := c.proposer(10, firstIncarnationRounds()).Bootstrap(t.Context(), lists[0], len(all.Members), appendMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.proposer(11, firstIncarnationRounds()).Bootstrap(t.Context(), lists[1], len(all.Members), func(current Record, _ map[uint64]bool) (Record, bool) {
		return current, false
	})
	if err != nil || !second.Equal(first) {
		t.Fatalf("the first bootstrap decided %+v, the second %+v, %v", first, second, err)
	}
}
