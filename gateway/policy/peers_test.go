package policy

import (
	"testing"

	"otterseam/internal/rng"
)

func TestPeerThatAsksHearsOfGoodAnswer(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.PeerMessage(f.now, 0, "-a")
	f.warmUp(4)
	if len(f.peerMessages) != 1 || f.peerMessages[0] != "+a" {
		t.Fatalf("told %q", f.peerMessages)
	}
}

func TestFewOfManyGatewaysBroadcast(t *testing.T) {
	told := 0
	for seed := range uint64(100) {
		f := newHarnessOf(t, Plan{Name: "p"}, 300)
		f.gateway.random = rng.New("%d ", seed)
		f.gateway.eject(f.now, f.gateway.hosts.ordered[0], "by the test")
		told += len(f.peerMessages)
	}
	if told == 0 || told > 15 {
		t.Fatalf("%d of 100 told 299 peers", told)
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
		t.Fatal("back by peers' word although it failed here again")
	}
}
