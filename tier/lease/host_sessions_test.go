package lease

import "testing"

// heartbeat is the heartbeat interval of the hosts in these tests, in milliseconds.
const heartbeat = 300

func expiredAt(s *HostSessions, now int64) bool { return len(s.Expired(heartbeat, now)) > 0 }

func TestSilentHostExpiresAfterMissedHeartbeats(t *testing.T) {
	s := NewHostSessions()
	for now := int64(1000); now <= 4000; now += 200 {
		s.RenewHolder(7, 0, now, now)
		if now <= 2000 {
			s.Renew("h", 7, now)
		}
		if expired := expiredAt(s, now); expired != (now > 2000+MaxMissedHeartbeats*heartbeat) {
			t.Fatalf("at %d: expired %v", now, expired)
		}
	}
}

// When the control process that receives a host's heartbeats falls silent, the host has time to reach another one.
func TestHostGetsGraceWhenItsHolderIsSilent(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	end := int64(1000 + MaxMissedHeartbeats*heartbeat + HostGrace)
	for now := int64(1200); now <= end; now += 100 {
		if expiredAt(s, now) {
			t.Fatalf("expired after %d ms", now-1000)
		}
	}
	if !expiredAt(s, end+1) {
		t.Fatal("the session never expires")
	}
}

// While a holder is frozen, its hosts cannot send it heartbeats. Their sessions must not expire when the holder responds again.
func TestHostGetsGraceAfterItsHolderFroze(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(2150); now <= 4000; now += 50 {
		s.RenewHolder(7, 0, now, now)
		if expiredAt(s, now) {
			t.Fatalf("expired after %d ms, %d after the freeze", now-1000, now-2150)
		}
	}
}

// A holder without a lease rejects heartbeats. The sessions of the rejected hosts must not expire while they look for another holder.
func TestHostGetsGraceAfterItsHolderRefusedHeartbeats(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 4000; now += 200 {
		s.RenewHolder(7, 1, now, now) // one rejected heartbeat, none since
		if expiredAt(s, now) {
			t.Fatalf("expired after %d ms", now-1000)
		}
	}
}

// A holder whose messages arrive but that answers no new probe of the primary counts as silent.
func TestHostGetsGraceWhenItsHolderAnswersNoProbe(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 1000+MaxMissedHeartbeats*heartbeat+HostGrace; now += 200 {
		s.RenewHolder(7, 0, 1000, now)
		if expiredAt(s, now) {
			t.Fatalf("expired after %d ms", now-1000)
		}
	}
}

// A report that was in transit for a long time does not show which process receives the host's heartbeats now.
func TestLateReportDoesNotShortenGrace(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.RenewHolder(8, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 4000; now += 200 { // 7 is silent
		s.RenewHolder(8, 0, now, now)
		s.Renew("h", 8, 900)
		if expiredAt(s, now) {
			t.Fatalf("expired after %d ms", now-1000)
		}
	}
}

func TestNewPrimaryGrantsGraceToAllHosts(t *testing.T) {
	s := NewHostSessions()
	s.Begin([]string{"a", "b"}, 1000)
	s.Renew("b", 7, 1100)
	end := int64(1000 + MaxMissedHeartbeats*heartbeat + HostGrace)
	for now := int64(1100); now <= end; now += 200 {
		s.RenewHolder(7, 0, now, now)
		expired := s.Expired(heartbeat, now)
		if now > 1100+MaxMissedHeartbeats*heartbeat && len(expired) == 1 && expired[0] == "b" {
			continue
		}
		if len(expired) != 0 {
			t.Fatalf("%d ms after the takeover: expired hosts %v", now-1000, expired)
		}
	}
	if expired := s.Expired(heartbeat, end+1); len(expired) != 2 {
		t.Fatalf("the session of a silent host never expires: expired hosts %v", expired)
	}
}

// While the removal of a host may still be committed, a heartbeat of the host counts only if it is committed after the removal.
func TestHeartbeatDuringRemovalMustBeCommitted(t *testing.T) {
	s := NewHostSessions()
	s.Renew("h", 7, 1000)
	s.BeginRemoval("h")
	s.FinishRemoval("h", false, 2000) // it may still be committed
	if !s.Renew("h", 7, 2100) {
		t.Fatal("Renew does not report that the host may be removed")
	}
	s.Readmit("h")
	if s.Renew("h", 7, 2400) {
		t.Fatal("Renew reports a removal of a host that was readmitted")
	}
}

// After a committed removal, the host has neither a session nor a removal in flight.
func TestCommittedRemovalEndsSession(t *testing.T) {
	s := NewHostSessions()
	s.Renew("h", 7, 1000)
	s.BeginRemoval("h")
	s.FinishRemoval("h", true, 2000)
	if expiredAt(s, 90_000) || s.Renew("h", 7, 100_000) {
		t.Fatal("the session or the removal is still in the table")
	}
}
