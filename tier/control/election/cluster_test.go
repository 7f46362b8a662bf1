package election

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// A record of another cluster is not learned, however high its epoch, and is logged with codes.DiskForeign.
func TestRecordOfAnotherClusterIsIgnored(t *testing.T) {
	logger, hook := test.NewNullLogger()
	log := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(t.TempDir(), clients, log, true)
	if err != nil {
		t.Fatal(err)
	}
	elector := &Elector{config: Config{Node: node, Clients: clients, Log: log, Now: multigroup.Now}}
	node.BindCluster(7)
	own := consensus.Record{Epoch: 3, Primary: 1, ClusterID: 7}
	elector.Learn(own)
	elector.Learn(consensus.Record{Epoch: 90, Primary: 2, ClusterID: 8})
	if known := elector.Known(); known.Epoch != own.Epoch || known.ClusterID != own.ClusterID {
		t.Fatalf("known: %+v", known)
	}
	if entry := hook.LastEntry(); entry == nil || entry.Data["code"] != uint16(codes.DiskForeign) {
		t.Fatalf("last log entry: %+v", entry)
	}
}

// KnownSince returns the time at which the epoch was first seen, not the time of the newest record of that epoch.
func TestKnownSinceIsTheFirstSightOfAnEpoch(t *testing.T) {
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(t.TempDir(), clients, logrus.NewEntry(logrus.New()), true)
	if err != nil {
		t.Fatal(err)
	}
	elector := &Elector{config: Config{Node: node, Clients: clients, Now: multigroup.Now}}
	elector.Learn(consensus.Record{Epoch: 3, Primary: 1})
	_, first := elector.KnownSince()
	if first == 0 {
		t.Fatal("KnownSince returned no time")
	}
	elector.epochSeenAt = first - 10
	elector.Learn(consensus.Record{Epoch: 3, Primary: 1, MinInSync: 2})
	if _, since := elector.KnownSince(); since != first-10 {
		t.Fatalf("another record of the same epoch changed the time to %d, want %d", since, first-10)
	}
	elector.Learn(consensus.Record{Epoch: 4, Primary: 2})
	if _, since := elector.KnownSince(); since < first {
		t.Fatal("a newer epoch did not change the time")
	}
}
