package feed

import (
	"fmt"
	"testing"
)

// A subscriber that was away for longer than tombstones are kept gets a snapshot.
func TestTombstonesAreBoundedAtSourceAndSubscribers(t *testing.T) {
	source, near, away := NewView(), NewView(), NewView()
	revision := uint64(0)
	next := func() uint64 { revision++; return revision }
	source.Put(SectionHost, "stays", next(), []byte("x"))
	source.Put(SectionHost, "leaves", next(), []byte("x"))
	away.Merge(source.Since(0))
	source.Delete(SectionHost, "leaves", next())
	for i := range 5000 {
		key := fmt.Sprint("host-", i)
		source.Put(SectionHost, key, next(), []byte("x"))
		near.Merge(source.Since(near.Revision()))
		source.Delete(SectionHost, key, next())
		near.Merge(source.Since(near.Revision()))
	}
	for name, view := range map[string]*View{"source": source, "subscriber": near} {
		if held := view.itemCountLocked(); held > maxTombstones+10 {
			t.Errorf("%s: %d items, of which one exists", name, held)
		}
		if changes := len(view.history.changes); changes > 2*view.itemCountLocked()+2*changeLogSlack {
			t.Errorf("%s: %d changes are listed", name, changes)
		}
	}
	update := source.Since(away.Revision())
	if !update.Snapshot {
		t.Fatal("a subscriber that was away for long gets changes only")
	}
	away.Merge(update)
	if items := away.All(SectionHost); len(items) != 1 || items[0].Key != "stays" {
		t.Fatalf("%+v", items)
	}
}
