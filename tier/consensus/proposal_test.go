package consensus

import "testing"

// step drives a proposal synchronously: only the reached acceptors respond to its requests.
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
			var response Response
			var err error
			if kind == RequestPrepare {
				response, err = c.Prepare(t.Context(), request.To, request.Number)
			} else {
				response, err = c.Accept(t.Context(), request.To, request.Number, request.Value)
			}
			if err != nil {
				t.Fatal(err)
			}
			further = append(further, p.Answer(kind, id, response)...)
		}
	}
	if len(further) > 0 {
		step(t, c, p, further, reached...)
	}
}

// A change of members that was accepted by some acceptors but not decided must not be replaced by a record without the old
// members. A proposer that starts from the replacing record would miss what the old members decide. The fault was found by
// TestDecisionsFormOneHistoryWhileMembersChange in about one run of 40, each of 1,500 seeds.
func TestUndecidedChangeOfMembersIsConfirmedBeforeItIsReplaced(t *testing.T) {
	c, start := newCluster(1, 3)
	c.set(4, &Acceptor{})
	first, err := c.proposer(9, firstIncarnationRounds()).Propose(t.Context(), start, appendMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	// Replace member 1 by 4. A proposer that reads this record next can't tell whether it was decided.
	replacing := NewProposal(ProposalNumber{100, 9}, first, Record{}, appendMark(2, 1, 4))
	step(t, c, replacing, replacing.Begin(), 1, 2, 3, 4)
	if replacing.Phase() != PhaseDecided {
		t.Fatal("the change of members was not decided although all acceptors responded")
	}
	confirming := NewProposal(ProposalNumber{101, 9}, replacing.Decided(), Record{}, appendMark(3, 0, 0))
	step(t, c, confirming, confirming.Begin(), 2, 3, 4)
	if confirming.Phase() != PhaseDecided || !confirming.OnlyConfirmed() || len(confirming.Decided().Previous) != 3 {
		t.Fatalf("the change was replaced by %+v before it was known to be decided", confirming.Decided())
	}
	following := NewProposal(ProposalNumber{102, 9}, replacing.Decided(), confirming.Decided(), appendMark(3, 0, 0))
	step(t, c, following, following.Begin(), 2, 3, 4)
	if following.Phase() != PhaseDecided || following.OnlyConfirmed() || len(following.Decided().Previous) != 0 {
		t.Fatalf("a confirmed change was not replaced: %+v", following.Decided())
	}
}
