package lease

import "testing"

// A host whose heartbeat was acknowledged must reach the next primary before its session expires there. In the worst case the last
// acknowledgement is sent one lease after the new primary began, and the next heartbeat first goes to unresponsive processes before
// it reaches one whose report arrives.
func TestNewPrimaryWaitsLongerThanHostsNeed(t *testing.T) {
	for _, heartbeat := range []int64{100, 300, 500, 1000, 2000, 5000} {
		jitter := heartbeat / 2 // a heartbeat may be late by half an interval
		needed := TTL + heartbeat + jitter + MaxHostAttempts*HostAttemptTimeout + ReportInterval + ReportTimeout
		if timeout := MaxMissedHeartbeats*heartbeat + HostGrace; needed >= timeout {
			t.Errorf("heartbeat %d: the host may need %d ms, the new primary waits %d", heartbeat, needed, timeout)
		}
	}
}

func TestNewPrimaryWaitsLongerThanStoresNeed(t *testing.T) {
	needed := TTL + StoreHeartbeatInterval + PrimaryAttemptTimeout + 2*PrimaryRetryInterval
	if needed >= StoreFirstTimeout {
		t.Errorf("the store may need %d ms, the new primary waits %d", needed, StoreFirstTimeout)
	}
}

// The lease must end before the primary steps down, so that the primary never leads without a lease for long, and the election
// timeout must be shorter than the lease.
func TestLeaseTimeoutsAreOrdered(t *testing.T) {
	if LeaderStickiness >= ElectionTimeout || ElectionTimeout >= TTL || TTL >= StepDownAfter {
		t.Error("stickiness, election timeout, lease and step-down are out of order")
	}
	// Before a holder counts as silent, a host must have had the time to send it a heartbeat, and the holder the time to report it.
	const heartbeat = 300
	if HolderTimeout+heartbeat+heartbeat/2+ReportInterval >= MaxMissedHeartbeats*heartbeat {
		t.Error("a holder counts as silent only after the sessions of its hosts have expired")
	}
}
