package feed

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMergeIgnoresOlderUpdates(t *testing.T) {
	v := NewView()
	v.Merge(Update{Revision: 5, Snapshot: true, Items: []Item{{Section: SectionConfig, Key: "k", Revision: 5, Data: []byte("new")}}})
	v.Merge(Update{Revision: 3, Snapshot: true, Items: []Item{{Section: SectionConfig, Key: "k", Revision: 3, Data: []byte("old")}}})
	if data, _ := v.Get(SectionConfig, "k"); string(data) != "new" || v.Revision() != 5 {
		t.Fatalf("%q at %d", data, v.Revision())
	}
}

func TestSnapshotDeletesMissingItems(t *testing.T) {
	v := NewView()
	v.Put(SectionHost, "gone", 1, []byte("x"))
	changed := v.Merge(Update{Revision: 9, Snapshot: true, Items: []Item{{Section: SectionHost, Key: "here", Revision: 7, Data: []byte("y")}}})
	if len(v.All(SectionHost)) != 1 || len(changed) != 2 {
		t.Fatalf("%d hosts, %d changes", len(v.All(SectionHost)), len(changed))
	}
}

// A relay that was filled from a snapshot has no tombstones of earlier deletions. Subscribers that are behind the snapshot must get a
// snapshot too.
func TestDeletionsReachSubscribersThroughARestartedRelay(t *testing.T) {
	source, proxy := NewView(), NewView()
	source.Put(SectionHost, "leaves", 1, []byte("x"))
	source.Put(SectionHost, "stays", 2, []byte("y"))
	proxy.Merge(source.Since(0))
	source.Delete(SectionHost, "leaves", 3)
	source.Put(SectionHost, "comes", 4, []byte("z"))
	agent := NewView() // the relay has restarted with an empty view
	agent.Merge(source.Since(0))
	proxy.Merge(agent.Since(proxy.Revision()))
	if _, found := proxy.Get(SectionHost, "leaves"); found || len(proxy.All(SectionHost)) != 2 {
		t.Fatalf("%+v", proxy.All(SectionHost))
	}
}

// All changes of one revision become visible together.
func TestChangesOfOneRevisionBecomeVisibleTogether(t *testing.T) {
	v := NewView()
	const revisions = 2000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for revision := uint64(1); revision <= revisions; revision++ {
			v.PutAll(revision, Item{Section: SectionHost, Key: "a", Data: []byte{1}}, Item{Section: SectionConfig, Key: "b", Data: []byte{2}})
		}
	}()
	for seen := uint64(0); seen < revisions; {
		update := v.Since(seen)
		if update.Revision > seen && len(update.Items) != 2 {
			t.Fatalf("%d items at revision %d", len(update.Items), update.Revision)
		}
		seen = update.Revision
	}
	<-done
}

func TestPrivateSectionsAreExportedButNotDistributed(t *testing.T) {
	v := NewView()
	v.Put(SectionRetirement, "4", 1, []byte("hash"))
	v.Put(SectionHost, "h", 2, []byte("x"))
	if update := v.Since(0); len(update.Items) != 1 || update.Items[0].Section != SectionHost {
		t.Fatalf("%+v", update.Items)
	}
	if len(v.Export().Items) != 2 {
		t.Fatal("the exported snapshot lacks the private section")
	}
}

// For any sequence of changes and any gaps between the subscriber's requests, the subscriber ends with the same items as the source.
func TestSubscriberEndsWithTheItemsOfItsSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, replica := NewView(), NewView()
		for revision := range uint64(rapid.IntRange(1, 1500).Draw(rt, "changes")) {
			key := fmt.Sprint(rapid.IntRange(0, 700).Draw(rt, "key"))
			if rapid.IntRange(0, 2).Draw(rt, "delete") == 0 {
				source.Delete(SectionHost, key, revision+1)
			} else {
				source.Put(SectionHost, key, revision+1, []byte(fmt.Sprint(revision)))
			}
			if rapid.IntRange(0, 40).Draw(rt, "ask") == 0 {
				catchUp(rt, source, replica)
			}
		}
		catchUp(rt, source, replica)
		want, got := source.All(SectionHost), replica.All(SectionHost)
		if len(want) != len(got) {
			rt.Fatalf("%d items, not %d", len(got), len(want))
		}
		for i := range want {
			if want[i].Key != got[i].Key || string(want[i].Data) != string(got[i].Data) {
				rt.Fatalf("item %+v, not %+v", got[i], want[i])
			}
		}
	})
}

// catchUp merges the changes of the source into a replica, through the encoded form.
func catchUp(rt *rapid.T, source, replica *View) {
	rt.Helper()
	update, err := DecodeUpdate(source.Since(replica.Revision()).Encode())
	if err != nil {
		rt.Fatal(err)
	}
	replica.Merge(update)
}
