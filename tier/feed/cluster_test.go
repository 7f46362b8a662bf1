package feed

import "testing"

func viewOfCluster(clusterID, revision uint64, data string) *View {
	v := NewView()
	v.SetClusterID(clusterID)
	v.Put(SectionConfig, "config", revision, []byte(data))
	return v
}

// Revisions are comparable only within a cluster. Updates of another cluster are rejected, even with a higher revision.
func TestViewRejectsUpdatesOfAnotherCluster(t *testing.T) {
	own := viewOfCluster(7, 10, "own")
	other := viewOfCluster(8, 900, "other")
	subscriber := NewView()
	subscriber.Merge(own.Since(0))
	if subscriber.ClusterID() != 7 {
		t.Fatalf("cluster %d", subscriber.ClusterID())
	}
	for _, revision := range []uint64{0, 10} {
		if changed := subscriber.Merge(other.Since(revision)); len(changed) != 0 {
			t.Fatalf("merged from another cluster: %v", changed)
		}
	}
	if data, _ := subscriber.Get(SectionConfig, "config"); string(data) != "own" || subscriber.Revision() != 10 {
		t.Fatalf("got %q at revision %d", data, subscriber.Revision())
	}
	if !subscriber.RejectsCluster(8) || subscriber.RejectsCluster(7) || subscriber.RejectsCluster(0) {
		t.Fatal("RejectsCluster is wrong for cluster 7, 8 or 0")
	}
}

func TestClusterIDIsPartOfUpdatesAndSnapshots(t *testing.T) {
	own := viewOfCluster(7, 10, "own")
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
