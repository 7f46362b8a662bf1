package lease

import "testing"

func TestAVoterKeepsAPrimaryThatAMajorityStandsBehind(t *testing.T) {
	v := Voter{Now: 5000, KnownEpoch: 4, KnownPrimary: 1, PrimaryConfirmedAt: 5001 - LeaderStickiness}
	for name, step := range map[string]struct {
		request VoteRequest
		want    bool
	}{
		"on silence":       {VoteRequest{Candidate: 2, Epoch: 4}, false},
		"by itself":        {VoteRequest{Candidate: 1, Epoch: 4}, true},
		"on request":       {VoteRequest{Candidate: 2, Epoch: 4, LeadershipTransfer: true}, true},
		"of an old epoch":  {VoteRequest{Candidate: 2, Epoch: 3, LeadershipTransfer: true}, false},
		"itself, too late": {VoteRequest{Candidate: 1, Epoch: 3}, false},
	} {
		if v.Grants(step.request) != step.want {
			t.Errorf("%s: %v", name, !step.want)
		}
	}
	if v.PrimaryConfirmedAt--; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it protects a primary without a majority")
	}
}

// A voter that has just started has heard no primary yet, which says nothing about the primary.
func TestAVoterThatHasJustStartedHelpsNobody(t *testing.T) {
	v := Voter{StartedAt: 5000, KnownEpoch: 4, KnownPrimary: 1}
	if v.Now = 4999 + LeaderStickiness; v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it helps to replace a primary that it may not have heard yet")
	}
	if v.Now++; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it never helps")
	}
	if LeaderStickiness >= ElectionTimeout {
		t.Error("after a start of all, voters are not ready before candidates")
	}
}
