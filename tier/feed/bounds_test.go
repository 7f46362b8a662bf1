package feed

import (
	"fmt"
	"testing"
)

// Deletions are bounded at the source and at each subscriber; one that was away for longer than they are kept gets all.
func TestDeletionsAreBoundedEverywhere(t *testing.T) {
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
		if held := view.size(); held > tombstonesKept+10 {
			t.Errorf("%s: %d items, of which one exists", name, held)
		}
		if orders := len(view.order); orders > 2*view.size()+2*orderSlack {
			t.Errorf("%s: %d changes are listed", name, orders)
		}
	}
	update := source.Since(away.Revision())
	if !update.Snapshot {
		t.Fatal("one that was away for long gets changes only")
	}
	away.Merge(update)
	if items := away.All(SectionHost); len(items) != 1 || items[0].Key != "stays" {
		t.Fatalf("%+v", items)
	}
}
