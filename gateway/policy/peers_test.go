package policy

import (
	"testing"

	"otterseam/internal/rng"
)

func TestPeerQueryIsAnsweredAfterSuccess(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.PeerMessage(f.now, 0, "-a")
	f.warmUp(4)
	if len(f.peerMessages) != 1 || f.peerMessages[0] != "+a" {
		t.Fatalf("messages %q, want one that the host answers", f.peerMessages)
	}
}

func TestFewOfManyGatewaysBroadcast(t *testing.T) {
	broadcasts := 0
	for seed := range uint64(100) {
		f := newHarnessOf(t, Plan{Name: "p"}, 300)
		f.gateway.random = rng.New("%d ", seed)
		f.gateway.eject(f.now, f.gateway.hosts.ordered[0], "by the test")
		broadcasts += len(f.peerMessages)
	}
	if broadcasts == 0 || broadcasts > 15 {
		t.Fatalf("%d of 100 instances broadcast to 299 peers, want 1 to 15", broadcasts)
	}
}

func TestPeerReadmitsHostOnceUntilItAnswersHere(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.eject(f.now, h, "by the test")
	f.gateway.PeerMessage(f.now, 0, "+a")
	f.gateway.eject(f.now, h, "again")
	f.gateway.PeerMessage(f.now, 0, "+a")
	if !h.health.ejected {
		t.Fatal("readmitted by a peer's report although it failed again")
	}
}
