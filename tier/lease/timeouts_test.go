package lease

import "testing"

// Whoever acknowledges a host's heartbeat promises that the successor hears of it in time: the last acknowledgement may come a
// lease after the successor began; the next heartbeat then meets silent processes before it reaches one whose report arrives.
func TestANewPrimaryOutwaitsEveryAcknowledgedHost(t *testing.T) {
	for _, heartbeat := range []int64{100, 300, 500, 1000, 2000, 5000} {
		late := heartbeat / 2 // heartbeats come about that often
		needed := TTL + heartbeat + late + MaxHostAttempts*HostAttemptTimeout + ReportInterval + ReportTimeout
		if timeout := MaxMissedHeartbeats*heartbeat + HostGrace; needed >= timeout {
			t.Errorf("heartbeat %d: the host may need %d ms, the successor waits %d", heartbeat, needed, timeout)
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
func TestTheTimeoutsOfTheLeaseAreInOrder(t *testing.T) {
	if LeaderStickiness >= ElectionTimeout || ElectionTimeout >= TTL || TTL >= StepDownAfter {
		t.Error("stickiness, election timeout, lease and step-down are out of order")
	}
	// until a holder is doubted, its hosts have sent a heartbeat and it has had the time to report it
	const heartbeat = 300
	if HolderTimeout+heartbeat+heartbeat/2+ReportInterval >= MaxMissedHeartbeats*heartbeat {
		t.Error("a holder is doubted too late for its hosts")
	}
}
