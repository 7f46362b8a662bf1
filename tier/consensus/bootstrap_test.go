package consensus

import "testing"

// Two founders among five seeds found three of them each, with one in common, which answers neither. A majority of each list would
// decide a record of its own.
func TestTwoFoundersNeverDecideTwoRecords(t *testing.T) {
	c, all := newCluster(1, 5)
	common := c.witnesses[3]
	c.set(3, nil)
	lists := [][]Member{{all.Members[0], all.Members[1], all.Members[2]}, {all.Members[2], all.Members[3], all.Members[4]}}
	for i, list := range lists {
		record, err := Bootstrap(t.Context(), c, uint64(10+i), firstLife(), list, len(all.Members), addMark(uint64(i+1), 0, 0))
		if err == nil {
			t.Fatalf("founder %d decided %+v with two of five seeds", i, record)
		}
	}
	c.set(3, common)
	first, err := Bootstrap(t.Context(), c, 10, firstLife(), lists[0], len(all.Members), addMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Bootstrap(t.Context(), c, 11, firstLife(), lists[1], len(all.Members), func(current Record, _ map[uint64]bool) (Record, bool) {
		return current, false
	})
	if err != nil || !second.Equal(first) {
		t.Fatalf("one founder decided %+v, the other %+v, %v", first, second, err)
	}
}
