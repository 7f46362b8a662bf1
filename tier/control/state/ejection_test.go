package state

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// Subscribers and restored replicas receive an ejection until it ends or the host is removed. A host that is not listed can't be
// ejected.
func TestEjectionsArePublishedUntilTheyEnd(t *testing.T) {
	state := New()
	index := uint64(0)
	apply := func(c Command) {
		index++
		state.Apply(index, c.Encode())
	}
	for _, id := range []string{"a", "b"} {
		apply(PutHost{Host: directory.Host{ID: id, Service: "s"}, Seq: 1})
		apply(EjectHost{ID: id, DurationMS: 2000})
	}
	apply(EjectHost{ID: "never registered", DurationMS: 2000})
	restored := New()
	if err := restored.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*State{state, restored} {
		if got := each.EjectionDurations(); len(got) != 2 || got["a"] != 2000 {
			t.Fatalf("ejections: %v", got)
		}
	}
	distributed := 0
	for _, item := range state.View.Since(0).Items {
		if item.Section == feed.SectionEjection {
			distributed++
		}
	}
	if distributed != 2 {
		t.Fatalf("%d ejections are published, not 2", distributed)
	}
	apply(ReinstateHost{ID: "a"})
	apply(ReinstateHost{ID: "a"})
	apply(RemoveHost{ID: "b"})
	if got := state.EjectionDurations(); len(got) != 0 {
		t.Fatalf("ejections after their end: %v", got)
	}
}
