package election

import (
	"testing"

	"github.com/sirupsen/logrus"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// Learn records the time at which it received a newer record. A backup counts from that time how long a
// primary that never started has been silent.
func TestLearnSetsTheTimeOfANewerRecord(t *testing.T) {
	log := logrus.NewEntry(logrus.New())
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(t.TempDir(), clients, log, true)
	if err != nil {
		t.Fatal(err)
	}
	elector, err := New(Config{Node: node, Clients: clients, Policy: membership.Policy{Tolerate: 1}, Log: log, Now: multigroup.Now})
	if err != nil {
		t.Fatal(err)
	}
	before := multigroup.Now()
	elector.Learn(consensus.Record{Epoch: 3, Primary: 7})
	if known, since := elector.KnownSince(); known.Epoch != 3 || since < before {
		t.Fatalf("epoch %d is known since %d, which is before %d", known.Epoch, since, before)
	}
}
