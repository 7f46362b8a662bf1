package control

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/groups"
	"otterseam/tier/register"
	"otterseam/tier/rpc"
)

// A record of another installation is not learnt, however high its epoch, and is named with a code.
func TestARecordOfAnotherInstallationIsNotLearnt(t *testing.T) {
	logger, hook := test.NewNullLogger()
	log := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	host, err := groups.Open(t.TempDir(), clients, log, true)
	if err != nil {
		t.Fatal(err)
	}
	elector := &Elector{host: host, clients: clients, log: log}
	host.Bind(7)
	own := register.Record{Epoch: 3, Primary: 1, Installation: 7}
	elector.Learn(own)
	elector.Learn(register.Record{Epoch: 90, Primary: 2, Installation: 8})
	if known := elector.Known(); known.Epoch != own.Epoch || known.Installation != own.Installation {
		t.Fatalf("known: %+v", known)
	}
	if entry := hook.LastEntry(); entry == nil || entry.Data["code"] != uint16(codes.DiskForeign) {
		t.Fatalf("named: %+v", entry)
	}
}

// The installation of the record that tells where control is becomes that of the view.
func TestTheViewTakesTheInstallationOfTheRecord(t *testing.T) {
	state := NewState()
	state.Apply(1, Command{Kind: CommandMembers, Record: register.Record{Epoch: 1, Installation: 7}}.Encode())
	restored := NewState()
	if err := restored.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if state.View.Installation() != 7 || restored.View.Installation() != 7 {
		t.Fatalf("installation %d, restored %d", state.View.Installation(), restored.View.Installation())
	}
}
