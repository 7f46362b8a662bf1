package heartbeat

import (
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/control/session"
)

// The planned number of hosts is redirected, within moveTTL. A move of no hosts does not cancel the current one.
func TestPlannedNumberOfHostsIsRedirected(t *testing.T) {
	var moves hostMoves
	if target := moves.nextTarget(0); target != "" {
		t.Fatalf("redirected to %s without a move", target)
	}
	moves.begin(session.Move{Target: consensus.Member{Address: "10.0.0.2:7400"}, Hosts: 2}, 100)
	moves.begin(session.Move{}, 101)
	for i, want := range []string{"10.0.0.2", "10.0.0.2", ""} {
		if got := moves.nextTarget(102); got != want {
			t.Errorf("host %d is redirected to %q, not %q", i, got, want)
		}
	}
	moves.begin(session.Move{Target: consensus.Member{Address: "10.0.0.3:7400"}, Hosts: 1}, 200)
	if target := moves.nextTarget(200 + moveTTL + 1); target != "" {
		t.Errorf("redirected to %s after moveTTL", target)
	}
}
