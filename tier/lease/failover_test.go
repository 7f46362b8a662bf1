package lease

import "testing"

func TestABackupWaitsForTheLastProofOfThePrimary(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, Rank: 1}
	for _, step := range []struct {
		now  int64
		next Action
	}{{1000 + ElectionTimeout + ElectionStagger, ActionWait}, {1001 + ElectionTimeout + ElectionStagger, ActionTakeOver}} {
		if s.Now = step.now; s.Next() != step.next {
			t.Errorf("at %d: %d", step.now, s.Next())
		}
	}
	s.RecordLearnedAt = s.Now
	if s.Next() != ActionWait {
		t.Error("it replaces a primary of which it has just learned")
	}
}

// A candidate whose disk is stalled lets the others come first; where none comes, it replaces the primary all the same.
func TestACandidateWithADegradedDiskComesLast(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, DiskDegraded: true}
	last := int64(1000 + ElectionTimeout + DegradedDelay)
	if DegradedDelay <= 2*ElectionStagger {
		t.Error("it may come before another candidate")
	}
	if s.Now = last; s.Next() != ActionWait {
		t.Error("it does not wait")
	}
	if s.Now = last + 1; s.Next() != ActionTakeOver {
		t.Error("it never comes")
	}
	s.NamedPrimary = true
	if s.Now = 1000 + ElectionTimeout; s.Next() != ActionWait {
		t.Error("it leads again at once")
	}
	if s.Now = last; s.Next() != ActionResumeLead {
		t.Error("it never leads again")
	}
}
