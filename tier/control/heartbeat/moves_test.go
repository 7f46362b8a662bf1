package heartbeat

import (
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/control/session"
)

// As many hosts are asked as the primary said, for a short time, and a report without a move doesn't end one that is under way.
func TestHostsAreAskedToMoveOnce(t *testing.T) {
	var moves hostMoves
	if target := moves.take(0); target != "" {
		t.Fatalf("moved to %s", target)
	}
	moves.begin(session.Move{Target: consensus.Member{Address: "10.0.0.2:7400"}, Hosts: 2}, 100)
	moves.begin(session.Move{}, 101)
	for i, want := range []string{"10.0.0.2", "10.0.0.2", ""} {
		if got := moves.take(102); got != want {
			t.Errorf("host %d is sent to %q, not %q", i, got, want)
		}
	}
	moves.begin(session.Move{Target: consensus.Member{Address: "10.0.0.3:7400"}, Hosts: 1}, 200)
	if target := moves.take(200 + moveTTL + 1); target != "" {
		t.Errorf("moved to %s long after", target)
	}
}
