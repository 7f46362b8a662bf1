package lease

import "testing"

func TestVoterProtectsConfirmedPrimary(t *testing.T) {
	v := Voter{Now: 5000, KnownEpoch: 4, KnownPrimary: 1, PrimaryConfirmedAt: 5001 - LeaderStickiness}
	for name, step := range map[string]struct {
		request VoteRequest
		want    bool
	}{
		"silent primary":                           {VoteRequest{Candidate: 2, Epoch: 4}, false},
		"candidate is the primary":                 {VoteRequest{Candidate: 1, Epoch: 4}, true},
		"leadership transfer":                      {VoteRequest{Candidate: 2, Epoch: 4, LeadershipTransfer: true}, true},
		"outdated epoch":                           {VoteRequest{Candidate: 2, Epoch: 3, LeadershipTransfer: true}, false},
		"candidate is the primary, outdated epoch": {VoteRequest{Candidate: 1, Epoch: 3}, false},
	} {
		if v.Grants(step.request) != step.want {
			t.Errorf("%s: %v", name, !step.want)
		}
	}
	if v.PrimaryConfirmedAt--; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("the voter protects a primary that no majority confirmed recently")
	}
}

// A voter that has just started has not been in contact with the primary yet, so that it cannot conclude that the primary failed.
func TestNewlyStartedVoterGrantsNoVote(t *testing.T) {
	v := Voter{StartedAt: 5000, KnownEpoch: 4, KnownPrimary: 1}
	if v.Now = 4999 + LeaderStickiness; v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("the voter grants its vote although it may not have been in contact with the primary yet")
	}
	if v.Now++; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("the voter never grants its vote")
	}
	if LeaderStickiness >= ElectionTimeout {
		t.Error("when all processes start together, candidates ask before voters may grant a vote")
	}
}
