package state

import (
	"testing"

	"otterseam/tier/consensus"
)

// The cluster ID of the record in SetMembers becomes the cluster ID of the view, and a snapshot retains it.
func TestSetMembersSetsClusterIDOfView(t *testing.T) {
	state := New()
	state.Apply(1, SetMembers{Record: consensus.Record{Epoch: 1, ClusterID: 7}}.Encode())
	restored := New()
	if err := restored.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if state.View.ClusterID() != 7 || restored.View.ClusterID() != 7 {
		t.Fatalf("cluster ID %d, restored %d", state.View.ClusterID(), restored.View.ClusterID())
	}
}
