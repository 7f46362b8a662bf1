package register

import "testing"

func marked(ids ...uint64) map[uint64]bool {
	set := map[uint64]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// One of two members whose disk is lost does not stop the other; anything less than all survivors, or more lost than half, does.
func TestHalfOfAnEvenNumberMayBeLost(t *testing.T) {
	group := func(ids ...uint64) []Member {
		var members []Member
		for _, id := range ids {
			members = append(members, Member{ID: id})
		}
		return members
	}
	cases := []struct {
		name          string
		members, prev []Member
		voted, lost   map[uint64]bool
		want          bool
	}{
		{"one of two lost", group(1, 2), nil, marked(1), marked(2), true},
		{"one of two silent", group(1, 2), nil, marked(1), nil, false},
		{"two of four lost, all others vote", group(1, 2, 3, 4), nil, marked(1, 2), marked(3, 4), true},
		{"two of four lost, one silent", group(1, 2, 3, 4), nil, marked(1), marked(3, 4), false},
		{"three of four lost", group(1, 2, 3, 4), nil, marked(1), marked(2, 3, 4), false},
		{"two of three lost", group(1, 2, 3), nil, marked(1), marked(2, 3), false},
		{"a majority", group(1, 2, 3), nil, marked(1, 2), nil, true},
		{"during a change of the lost member", group(1, 7), group(1, 2), marked(1, 7), marked(2), true},
		{"during a change, the old ones silent", group(1, 7), group(1, 2), marked(1, 7), nil, false},
	}
	for _, c := range cases {
		if got := QuorumWithLost(Record{Members: c.members, Previous: c.prev}, c.voted, c.lost); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
