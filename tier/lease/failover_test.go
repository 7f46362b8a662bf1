package lease

import "testing"

func TestBackupWaitsForElectionTimeout(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, Rank: 1}
	for _, step := range []struct {
		now  int64
		next Action
	}{{1000 + ElectionTimeout + ElectionStagger, ActionWait}, {1001 + ElectionTimeout + ElectionStagger, ActionTakeOver}} {
		if s.Now = step.now; s.Next() != step.next {
			t.Errorf("at %d: action %d", step.now, s.Next())
		}
	}
	s.RecordLearnedAt = s.Now
	if s.Next() != ActionWait {
		t.Error("the backup replaces a primary that it has just learned of")
	}
}

// A candidate with a stalled disk waits until the other candidates had their turn. If none of them took over, it replaces the
// primary.
func TestCandidateWithDegradedDiskWaitsLonger(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, DiskDegraded: true}
	last := int64(1000 + ElectionTimeout + DegradedDelay)
	if DegradedDelay <= 2*ElectionStagger {
		t.Error("the degraded candidate may precede another one")
	}
	if s.Now = last; s.Next() != ActionWait {
		t.Error("the degraded candidate does not wait")
	}
	if s.Now = last + 1; s.Next() != ActionTakeOver {
		t.Error("the degraded candidate never takes over")
	}
	s.NamedPrimary = true
	if s.Now = 1000 + ElectionTimeout; s.Next() != ActionWait {
		t.Error("the degraded primary resumes its lead without waiting")
	}
	if s.Now = last; s.Next() != ActionResumeLead {
		t.Error("the degraded primary never resumes its lead")
	}
}
