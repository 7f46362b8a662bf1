package feed

import "testing"

func viewOfInstallation(installation uint64, revision uint64, data string) *View {
	v := NewView()
	v.SetClusterID(installation)
	v.Put(SectionConfig, "config", revision, []byte(data))
	return v
}

// Revisions are ordered within an installation; what another one says is refused, however new it looks.
func TestAViewRefusesAnotherInstallation(t *testing.T) {
	own := viewOfInstallation(7, 10, "own")
	other := viewOfInstallation(8, 900, "other")
	subscriber := NewView()
	subscriber.Merge(own.Since(0))
	if subscriber.ClusterID() != 7 {
		t.Fatalf("installation %d", subscriber.ClusterID())
	}
	for _, revision := range []uint64{0, 10} {
		if changed := subscriber.Merge(other.Since(revision)); len(changed) != 0 {
			t.Fatalf("taken from another installation: %v", changed)
		}
	}
	if data, _ := subscriber.Get(SectionConfig, "config"); string(data) != "own" || subscriber.Revision() != 10 {
		t.Fatalf("holds %q at revision %d", data, subscriber.Revision())
	}
	if !subscriber.RejectsCluster(8) || subscriber.RejectsCluster(7) || subscriber.RejectsCluster(0) {
		t.Fatal("refuses the wrong installations")
	}
}

// The installation is part of an update's encoded form, and of a restored view.
func TestTheInstallationIsKeptInUpdatesAndSnapshots(t *testing.T) {
	own := viewOfInstallation(7, 10, "own")
	decoded, err := DecodeUpdate(own.Export().Encode())
	if err != nil || decoded.ClusterID != 7 {
		t.Fatalf("decoded %d, %v", decoded.ClusterID, err)
	}
	restored := NewView()
	restored.Restore(decoded)
	if restored.ClusterID() != 7 {
		t.Fatalf("restored %d", restored.ClusterID())
	}
}
