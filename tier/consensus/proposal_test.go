package consensus

import "testing"

// step drives a proposal by hand: the named acceptors answer its requests, in the order of their ids.
func step(t *testing.T, c *cluster, p *Proposal, requests []Request, reached ...uint64) {
	t.Helper()
	kind := RequestKind(0)
	for _, request := range requests {
		kind = request.Kind
	}
	var further []Request
	for _, request := range requests {
		for _, id := range reached {
			if request.To.ID != id {
				continue
			}
			var answer Response
			var err error
			if kind == RequestPrepare {
				answer, err = c.Prepare(t.Context(), request.To, request.Number)
			} else {
				answer, err = c.Accept(t.Context(), request.To, request.Number, request.Value)
			}
			if err != nil {
				t.Fatal(err)
			}
			further = append(further, p.Answer(kind, id, answer)...)
		}
	}
	if len(further) > 0 {
		step(t, c, p, further, reached...)
	}
}

// A change of members that was accepted somewhere and never decided must not be followed by a record that forgets the old
// members: a reader that begins at the follower would pass by what the old members decide. Found by
// TestDecisionsFormOneHistoryWhileMembersChange in about one run of 40, each of 1,500 seeds.
func TestAnUndecidedChangeOfMembersIsConfirmedBeforeItIsFollowed(t *testing.T) {
	c, start := newCluster(1, 3)
	c.set(4, &Acceptor{})
	first, err := c.proposer(9, firstIncarnation()).Propose(t.Context(), start, addMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	// member 1 is replaced by 4; whoever reads it next cannot tell that it was decided
	replacing := NewProposal(ProposalNumber{100, 9}, first, Record{}, addMark(2, 1, 4))
	step(t, c, replacing, replacing.Begin(), 1, 2, 3, 4)
	if replacing.Phase() != PhaseDecided {
		t.Fatal("the change of members was not decided with all acceptors up")
	}
	confirming := NewProposal(ProposalNumber{101, 9}, replacing.Decided(), Record{}, addMark(3, 0, 0))
	step(t, c, confirming, confirming.Begin(), 2, 3, 4)
	if confirming.Phase() != PhaseDecided || !confirming.OnlyConfirmed() || len(confirming.Decided().Previous) != 3 {
		t.Fatalf("the change was followed by %+v before it was known to be decided", confirming.Decided())
	}
	following := NewProposal(ProposalNumber{102, 9}, replacing.Decided(), confirming.Decided(), addMark(3, 0, 0))
	step(t, c, following, following.Begin(), 2, 3, 4)
	if following.Phase() != PhaseDecided || following.OnlyConfirmed() || len(following.Decided().Previous) != 0 {
		t.Fatalf("a confirmed change was not followed: %+v", following.Decided())
	}
}
