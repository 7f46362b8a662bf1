package feed

import (
	"fmt"
	"testing"
)

// The numbers of tombstones and listed changes are bounded. A subscriber at a revision older than the dropped tombstones gets a snapshot.
func TestTombstonesAreBoundedAtSourceAndSubscribers(t *testing.T) {
	source, current, lagging := NewView(), NewView(), NewView()
	revision := uint64(0)
	next := func() uint64 { revision++; return revision }
	source.Put(SectionHost, "stays", next(), []byte("x"))
	source.Put(SectionHost, "leaves", next(), []byte("x"))
	lagging.Merge(source.Since(0))
	source.Delete(SectionHost, "leaves", next())
	for i := range 5000 {
		key := fmt.Sprint("host-", i)
		source.Put(SectionHost, key, next(), []byte("x"))
		current.Merge(source.Since(current.Revision()))
		source.Delete(SectionHost, key, next())
		current.Merge(source.Since(current.Revision()))
	}
	for name, view := range map[string]*View{"source": source, "subscriber": current} {
		if count := view.itemCountLocked(); count > maxTombstones+10 {
			t.Errorf("%s: %d items, only one of them not deleted", name, count)
		}
		if changes := len(view.history.changes); changes > 2*view.itemCountLocked()+2*changeLogSlack {
			t.Errorf("%s: %d changes are listed", name, changes)
		}
	}
	update := source.Since(lagging.Revision())
	if !update.Snapshot {
		t.Fatal("a subscriber older than the dropped tombstones got no snapshot")
	}
	lagging.Merge(update)
	if items := lagging.All(SectionHost); len(items) != 1 || items[0].Key != "stays" {
		t.Fatalf("%+v", items)
	}
}
