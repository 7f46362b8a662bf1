package lease

import "testing"

// heartbeat is how often the hosts of these tests send one, in milliseconds.
const heartbeat = 300

func expiredAt(s *HostSessions, now int64) bool { return len(s.Expired(heartbeat, now)) > 0 }

func TestAHostThatFallsSilentIsFoundWithinItsPatience(t *testing.T) {
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

// The control process that kept a host falls silent: the host has time to find another.
func TestAHostOutlivesTheProcessThatKeptIt(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	end := int64(1000 + MaxMissedHeartbeats*heartbeat + HostGrace)
	for now := int64(1200); now <= end; now += 100 {
		if expiredAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
	if !expiredAt(s, end+1) {
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
		if expiredAt(s, now) {
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
		if expiredAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
}

// A process that is heard but reads nothing of the primary is as good as silent.
func TestAHostOutlivesAProcessThatHearsNothing(t *testing.T) {
	s := NewHostSessions()
	s.RenewHolder(7, 0, 1000, 1000)
	s.Renew("h", 7, 1000)
	for now := int64(1200); now <= 1000+MaxMissedHeartbeats*heartbeat+HostGrace; now += 200 {
		s.RenewHolder(7, 0, 1000, now)
		if expiredAt(s, now) {
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
		if expiredAt(s, now) {
			t.Fatalf("removed after %d ms", now-1000)
		}
	}
}

func TestANewPrimaryGivesAllHostsTime(t *testing.T) {
	s := NewHostSessions()
	s.Begin([]string{"a", "b"}, 1000)
	s.Renew("b", 7, 1100)
	end := int64(1000 + MaxMissedHeartbeats*heartbeat + HostGrace)
	for now := int64(1100); now <= end; now += 200 {
		s.RenewHolder(7, 0, now, now)
		silent := s.Expired(heartbeat, now)
		if now > 1100+MaxMissedHeartbeats*heartbeat && len(silent) == 1 && silent[0] == "b" {
			continue
		}
		if len(silent) != 0 {
			t.Fatalf("%d ms after the takeover silent: %v", now-1000, silent)
		}
	}
	if silent := s.Expired(heartbeat, end+1); len(silent) != 2 {
		t.Fatalf("a host that never came is kept for ever: silent are %v", silent)
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
	if expiredAt(s, 90_000) || s.Renew("h", 7, 100_000) {
		t.Fatal("the removal is still under way")
	}
}
