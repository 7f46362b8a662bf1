package state

import (
	"testing"

	"otterseam/tier/consensus"
)

// The installation of the record that tells where control is becomes that of the view.
func TestTheViewTakesTheInstallationOfTheRecord(t *testing.T) {
	state := New()
	state.Apply(1, SetMembers{Record: consensus.Record{Epoch: 1, ClusterID: 7}}.Encode())
	restored := New()
	if err := restored.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if state.View.ClusterID() != 7 || restored.View.ClusterID() != 7 {
		t.Fatalf("installation %d, restored %d", state.View.ClusterID(), restored.View.ClusterID())
	}
}
