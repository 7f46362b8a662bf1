package lease

import (
	"errors"
	"testing"

	"otterseam/tier/codes"
)

// Whoever acknowledges a host's heartbeat promises that the successor hears of it in time: the last acknowledgement may come a
// lease after the successor began; the next heartbeat then meets silent processes before it reaches one whose report arrives.
func TestTheSuccessorOutwaitsEveryPromise(t *testing.T) {
	for _, heartbeat := range []int64{100, 300, 500, 1000, 2000, 5000} {
		late := heartbeat / 2 // heartbeats come about that often
		needed := TTL + heartbeat + late + MaxHostAttempts*HostAttemptTimeout + ReportInterval + ReportTimeout
		if patience := MaxMissedHeartbeats*heartbeat + HostGrace; needed >= patience {
			t.Errorf("heartbeat %d: the host may need %d ms, the successor waits %d", heartbeat, needed, patience)
		}
	}
}

func TestANewPrimaryOutwaitsAStore(t *testing.T) {
	needed := TTL + StoreHeartbeatInterval + PrimaryAttemptTimeout + 2*PrimaryRetryInterval
	if needed >= StoreFirstTimeout {
		t.Errorf("the store may need %d ms, the successor waits %d", needed, StoreFirstTimeout)
	}
}

// The lease ends before the primary gives up, so that it never leads without one for long, and backups wait less than that.
func TestTheBoundsOfTheLeadFollowEachOther(t *testing.T) {
	if !(StickyFor < SuspectAfter && SuspectAfter < TTL && TTL < StepDownAfter) {
		t.Error("sticky, suspicion, lease and step-down are out of order")
	}
	// until a holder is doubted, its hosts have sent a heartbeat and it has had the time to report it
	const heartbeat = 300
	if HolderTimeout+heartbeat+heartbeat/2+ReportInterval >= MaxMissedHeartbeats*heartbeat {
		t.Error("a holder is doubted too late for its hosts")
	}
}

func TestEveryAnswerHasABasis(t *testing.T) {
	for answer := ConfigChange; answer <= SessionEnd; answer++ {
		if _, found := bases[answer]; !found {
			t.Errorf("answer %d rests on nothing", answer)
		}
	}
}

func TestNobodyAnswersWithoutALease(t *testing.T) {
	const now = 10_000
	fresh, old := int64(now-TTL+1), int64(now-TTL)
	for name, step := range map[string]struct {
		standing Status
		decide   error
		passOn   error
		serve    bool
	}{
		"primary":                  {Status{Primary, true, fresh}, nil, nil, true},
		"primary, lease over":      {Status{Primary, true, old}, codes.Unavailable, codes.Unavailable, false},
		"primary, never answered":  {Status{Primary, true, 0}, codes.Unavailable, codes.Unavailable, false},
		"primary, not ready":       {Status{Primary, false, fresh}, codes.NotPrimary, nil, false},
		"backup":                   {Status{Backup, false, fresh}, codes.NotPrimary, nil, true},
		"backup, lease over":       {Status{Backup, false, old}, codes.NotPrimary, codes.Unavailable, false},
		"outsider":                 {Status{Outsider, false, fresh}, codes.NotPrimary, nil, false},
		"outsider, out of contact": {Status{Outsider, false, old}, codes.NotPrimary, codes.Unavailable, false},
	} {
		s := step.standing
		if !errors.Is(s.MayDecide(now), step.decide) || !errors.Is(s.MayForward(now), step.passOn) || s.MayServe(now) != step.serve {
			t.Errorf("%s: decide %v, pass on %v, serve %v", name, s.MayDecide(now), s.MayForward(now), s.MayServe(now))
		}
	}
}

const beat = 300

func silentAt(s *HostSessions, now int64) bool { return len(s.Expired(beat, now)) > 0 }

func TestAHostThatFallsSilentIsFoundWithinItsPatience(t *testing.T) {
	s := NewHostSessions()
	for now := int64(1000); now <= 4000; now += 200 {
		s.RenewHolder(7, 0, now, now)
		if now <= 2000 {
			s.Renew("h", 7, now)
		}
		if silent := silentAt(s, now); silent != (now > 2000+MaxMissedHeartbeats*beat) {
			t.Fatalf("at %d: silent %v", now, silent)
		}
	}
}

// The control process that kept a host falls silent: the host has time to find another.
func TestAHostOutlivesTheProcessThatKeptIt(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	end := int64(1000 + MaxMissedHeartbeats*beat + HostGrace)
	for now := int64(1200); now <= end; now += 100 {
		if silentAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
	if !silentAt(s, end+1) {
		t.Fatal("it is never removed")
	}
}

// A process that stood still and is back does not make its hosts' silence their own fault.
func TestAHostOutlivesAFreezeOfTheProcessThatKeptIt(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(2150); now <= 4000; now += 50 {
		s.RenewHolder(7, 0, now, now)
		if silentAt(s, now) {
			t.Fatalf("removed after %d ms, %d after the freeze", now-1000, now-2150)
		}
	}
}

// A process that sent hosts away, because it could not keep their sessions, does not make their silence their own fault.
func TestAHostOutlivesARefusal(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 4000; now += 200 {
		s.RenewHolder(7, 1, now, now) // one refusal, and well since
		if silentAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
}

// A process that is heard but reads nothing of the primary is as good as silent.
func TestAHostOutlivesAProcessThatHearsNothing(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 1000+MaxMissedHeartbeats*beat+HostGrace; now += 200 {
		s.RenewHolder(7, 0, 1000, now)
		if silentAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
}

// A report that was on its way for long says nothing about where the host is now.
func TestALateReportChangesNothing(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.RenewHolder(8, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 4000; now += 200 { // 7 is silent
		s.RenewHolder(8, 0, now, now)
		s.Renew("h", 8, 900)
		if silentAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
}

func TestANewPrimaryGivesAllHostsTime(t *testing.T) {
	s := NewHostSessions()
	s.Begin([]string{"a", "b"}, 1000)
	s.Renew("b", 7, 1100)
	end := int64(1000 + MaxMissedHeartbeats*beat + HostGrace)
	for now := int64(1100); now <= end; now += 200 {
		s.RenewHolder(7, 0, now, now)
		silent := s.Expired(beat, now)
		if now > 1100+MaxMissedHeartbeats*beat && len(silent) == 1 && silent[0] == "b" {
			continue
		}
		if len(silent) != 0 {
			t.Fatalf("%d ms after the takeover silent: %v", now-1000, silent)
		}
	}
	if silent := s.Expired(beat, end+1); len(silent) != 2 {
		t.Fatalf("a host that never came is kept for ever: silent are %v", silent)
	}
}

func TestAStoreGetsMoreTimeUntilItIsHeard(t *testing.T) {
	s := NewStoreSessions()
	s.Begin(map[uint64]uint64{5: 1}, 1000)
	if !s.IsAlive(5, 1, 1000+StoreFirstTimeout) || s.IsAlive(5, 1, 1001+StoreFirstTimeout) {
		t.Fatal("not heard yet")
	}
	s.Renew(5, 1, false, 2000)
	if !s.IsAlive(5, 1, 2000+StoreTimeout) || s.IsAlive(5, 1, 2001+StoreTimeout) || s.IsAlive(5, 2, 2000) {
		t.Fatal("heard")
	}
}

func TestABackupWaitsForTheLastProofOfThePrimary(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, Rank: 1}
	for _, step := range []struct {
		now  int64
		next Action
	}{{1000 + SuspectAfter + SuspectStep, ActionWait}, {1001 + SuspectAfter + SuspectStep, ActionTakeOver}} {
		if s.Now = step.now; s.Next() != step.next {
			t.Errorf("at %d: %d", step.now, s.Next())
		}
	}
	s.RecordLearnedAt = s.Now
	if s.Next() != ActionWait {
		t.Error("it replaces a primary of which it has just learned")
	}
}

func TestAVoterKeepsAPrimaryThatAMajorityStandsBehind(t *testing.T) {
	v := Voter{Now: 5000, KnownEpoch: 4, KnownPrimary: 1, PrimaryConfirmedAt: 5001 - StickyFor}
	for name, step := range map[string]struct {
		ballot VoteRequest
		want   bool
	}{
		"on silence":       {VoteRequest{Candidate: 2, Epoch: 4}, false},
		"by itself":        {VoteRequest{Candidate: 1, Epoch: 4}, true},
		"on request":       {VoteRequest{Candidate: 2, Epoch: 4, LeadershipTransfer: true}, true},
		"of an old epoch":  {VoteRequest{Candidate: 2, Epoch: 3, LeadershipTransfer: true}, false},
		"itself, too late": {VoteRequest{Candidate: 1, Epoch: 3}, false},
	} {
		if v.Grants(step.ballot) != step.want {
			t.Errorf("%s: %v", name, !step.want)
		}
	}
	if v.PrimaryConfirmedAt--; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it protects a primary without a majority")
	}
}

// A candidate whose disk is stalled lets the others come first; where none comes, it replaces the primary all the same.
func TestACandidateWithATroubledDiskComesLast(t *testing.T) {
	s := FailoverInput{InSync: true, PrimaryConfirmedAt: 1000, DiskDegraded: true}
	last := int64(1000 + SuspectAfter + DegradedDelay)
	if DegradedDelay <= 2*SuspectStep {
		t.Error("it may come before another candidate")
	}
	if s.Now = last; s.Next() != ActionWait {
		t.Error("it does not wait")
	}
	if s.Now = last + 1; s.Next() != ActionTakeOver {
		t.Error("it never comes")
	}
	s.NamedPrimary = true
	if s.Now = 1000 + SuspectAfter; s.Next() != ActionWait {
		t.Error("it leads again at once")
	}
	if s.Now = last; s.Next() != ActionResumeLead {
		t.Error("it never leads again")
	}
}

// While a removal may yet be committed, a heartbeat counts only when it is committed behind it.
func TestAHeartbeatBehindARemovalIsCommitted(t *testing.T) {
	s := NewHostSessions()
	s.Renew("h", 7, 1000)
	s.BeginRemoval("h")
	s.FinishRemoval("h", false, 2000) // nobody knows whether it will be
	if !s.Renew("h", 7, 2100) {
		t.Fatal("a heartbeat is kept though its host may be removed")
	}
	s.Readmit("h")
	if s.Renew("h", 7, 2400) {
		t.Fatal("the host is on the list again")
	}
}

// A removal that was committed leaves nothing behind.
func TestACommittedRemovalEndsTheSession(t *testing.T) {
	s := NewHostSessions()
	s.Renew("h", 7, 1000)
	s.BeginRemoval("h")
	s.FinishRemoval("h", true, 2000)
	if silentAt(s, 90_000) || s.Renew("h", 7, 100_000) {
		t.Fatal("the removal is still under way")
	}
}

// A store that was put on the list by a heartbeat from before the sessions were begun is not taken for one that is long silent.
func TestAStoreOnTheListIsExpected(t *testing.T) {
	s := NewStoreSessions()
	s.Begin(map[uint64]uint64{}, 50_000)
	s.Expect(5, 1, 50_100)
	s.Expect(5, 1, 50_200)
	if silence := s.SilentFor(5, 50_300); silence != 200 || s.IsAway(5, 50_300) || !s.IsAlive(5, 1, 50_300) {
		t.Fatalf("silent for %d", silence)
	}
	if !s.IsAway(5, 50_101+StoreAwayAfter) {
		t.Fatal("it is never away")
	}
}

// A voter that has just started has heard no primary yet, which says nothing about the primary.
func TestAVoterThatHasJustStartedHelpsNobody(t *testing.T) {
	v := Voter{StartedAt: 5000, KnownEpoch: 4, KnownPrimary: 1}
	if v.Now = 4999 + StickyFor; v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it helps to replace a primary that it may not have heard yet")
	}
	if v.Now++; !v.Grants(VoteRequest{Candidate: 2, Epoch: 4}) {
		t.Error("it never helps")
	}
	if StickyFor >= SuspectAfter {
		t.Error("after a start of all, voters are not ready before candidates")
	}
}
