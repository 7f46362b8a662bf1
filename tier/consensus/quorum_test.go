package consensus

import "testing"

func idSet(ids ...uint64) map[uint64]bool {
	set := map[uint64]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// Half of an even number of members may have lost their disks if all other members vote. Fewer votes, or more lost disks, form no
// quorum.
func TestHalfOfAnEvenNumberOfDisksMayBeLost(t *testing.T) {
	newMembers := func(ids ...uint64) []Member {
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
		{"one of two lost", newMembers(1, 2), nil, idSet(1), idSet(2), true},
		{"one of two doesn't vote", newMembers(1, 2), nil, idSet(1), nil, false},
		{"two of four lost, all others vote", newMembers(1, 2, 3, 4), nil, idSet(1, 2), idSet(3, 4), true},
		{"two of four lost, one doesn't vote", newMembers(1, 2, 3, 4), nil, idSet(1), idSet(3, 4), false},
		{"three of four lost", newMembers(1, 2, 3, 4), nil, idSet(1), idSet(2, 3, 4), false},
		{"two of three lost", newMembers(1, 2, 3), nil, idSet(1), idSet(2, 3), false},
		{"a majority", newMembers(1, 2, 3), nil, idSet(1, 2), nil, true},
		{"during a change of the lost member", newMembers(1, 7), newMembers(1, 2), idSet(1, 7), idSet(2), true},
		{"during a change, a previous member doesn't vote", newMembers(1, 7), newMembers(1, 2), idSet(1, 7), nil, false},
	}
	for _, c := range cases {
		if got := QuorumWithLostDisks(Record{Members: c.members, Previous: c.prev}, c.voted, c.lost); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// raiseEpoch is a change that raises the epoch.
func raiseEpoch(current Record, _ map[uint64]bool) (Record, bool) {
	next := current
	next.Epoch++
	return next, true
}

// If one of two members lost its disk, the other decides alone, based on the record that both decided before.
func TestOneOfTwoDecidesWhenTheOtherDiskIsLost(t *testing.T) {
	both := Record{Epoch: 4, Members: []Member{{ID: 1}, {ID: 2}}}
	previous := Response{Granted: true, Accepted: ProposalNumber{Round: 3, Proposer: 2}, Value: both}
	p := NewProposal(ProposalNumber{Round: 9, Proposer: 1}, both, Record{}, raiseEpoch)
	p.Begin()
	p.Answer(RequestPrepare, 1, previous)
	if p.Phase() != PhasePrepare {
		t.Fatalf("phase %d after one of two votes", p.Phase())
	}
	p.Answer(RequestPrepare, 2, Response{DiskLost: true})
	if p.Phase() != PhaseAccept {
		t.Fatalf("phase %d although the other disk is lost", p.Phase())
	}
	p.Answer(RequestAccept, 1, Response{Granted: true})
	p.Answer(RequestAccept, 2, Response{DiskLost: true})
	if p.Phase() != PhaseDecided || p.Decided().Epoch != 5 {
		t.Fatalf("phase %d, decided %+v", p.Phase(), p.Decided())
	}
}

// A member that is only unreachable may have accepted another value, so nothing is decided without it.
func TestOneOfTwoDecidesNothingWhileTheOtherIsUnreachable(t *testing.T) {
	both := Record{Epoch: 4, Members: []Member{{ID: 1}, {ID: 2}}}
	p := NewProposal(ProposalNumber{Round: 9, Proposer: 1}, both, Record{}, raiseEpoch)
	p.Begin()
	p.Answer(RequestPrepare, 1, Response{Granted: true, Accepted: ProposalNumber{Round: 3, Proposer: 2}, Value: both})
	p.Fail(RequestPrepare, 2)
	if p.Phase() != PhaseFailed {
		t.Fatalf("phase %d", p.Phase())
	}
}

// Two members whose disks are lost may have decided a record without the third, so the third can't decide alone.
func TestOneOfThreeDecidesNothingThoughTheOthersAreLost(t *testing.T) {
	three := Record{Epoch: 4, Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	p := NewProposal(ProposalNumber{Round: 9, Proposer: 1}, three, Record{}, raiseEpoch)
	p.Begin()
	p.Answer(RequestPrepare, 1, Response{Granted: true, Accepted: ProposalNumber{Round: 3, Proposer: 2}, Value: three})
	p.Answer(RequestPrepare, 2, Response{DiskLost: true})
	p.Answer(RequestPrepare, 3, Response{DiskLost: true})
	if p.Phase() != PhaseFailed {
		t.Fatalf("phase %d", p.Phase())
	}
}
