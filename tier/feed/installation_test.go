package feed

import "testing"

func viewOfInstallation(installation uint64, revision uint64, data string) *View {
	v := NewView()
	v.SetInstallation(installation)
	v.Put(SectionConfig, "config", revision, []byte(data))
	return v
}

// Revisions are ordered within an installation; what another one says is refused, however new it looks.
func TestAViewRefusesAnotherInstallation(t *testing.T) {
	own := viewOfInstallation(7, 10, "own")
	other := viewOfInstallation(8, 900, "other")
	subscriber := NewView()
	subscriber.Merge(own.Since(0))
	if subscriber.Installation() != 7 {
		t.Fatalf("installation %d", subscriber.Installation())
	}
	for _, revision := range []uint64{0, 10} {
		if changed := subscriber.Merge(other.Since(revision)); len(changed) != 0 {
			t.Fatalf("taken from another installation: %v", changed)
		}
	}
	if data, _ := subscriber.Get(SectionConfig, "config"); string(data) != "own" || subscriber.Revision() != 10 {
		t.Fatalf("holds %q at revision %d", data, subscriber.Revision())
	}
	if !subscriber.Refuses(8) || subscriber.Refuses(7) || subscriber.Refuses(0) {
		t.Fatal("refuses the wrong installations")
	}
}

// The installation is part of an update's encoded form, and of a restored view.
func TestTheInstallationIsKeptInUpdatesAndSnapshots(t *testing.T) {
	own := viewOfInstallation(7, 10, "own")
	decoded, err := DecodeUpdate(own.Export().Encode())
	if err != nil || decoded.Installation != 7 {
		t.Fatalf("decoded %d, %v", decoded.Installation, err)
	}
	restored := NewView()
	restored.Restore(decoded)
	if restored.Installation() != 7 {
		t.Fatalf("restored %d", restored.Installation())
	}
}
