package state

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// A host that is set aside is distributed as such, over snapshots too, until the term ends or the host goes.
func TestVerdictsAreDistributedUntilTheyEnd(t *testing.T) {
	state := New()
	index := uint64(0)
	apply := func(c Command) {
		index++
		state.Apply(index, c.Encode())
	}
	for _, id := range []string{"a", "b"} {
		apply(PutHost{Host: directory.Host{ID: id, Service: "s"}, Seq: 1})
		apply(EjectHost{ID: id, TermMS: 2000})
	}
	apply(EjectHost{ID: "never heard of", TermMS: 2000})
	again := New()
	if err := again.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*State{state, again} {
		if got := each.EjectionTerms(); len(got) != 2 || got["a"] != 2000 {
			t.Fatalf("%v", got)
		}
	}
	distributed := 0
	for _, item := range state.View.Since(0).Items {
		if item.Section == feed.SectionEjection {
			distributed++
		}
	}
	if distributed != 2 {
		t.Fatalf("%d verdicts are distributed", distributed)
	}
	apply(ReinstateHost{ID: "a"})
	apply(ReinstateHost{ID: "a"})
	apply(RemoveHost{ID: "b"})
	if got := state.EjectionTerms(); len(got) != 0 {
		t.Fatalf("%v", got)
	}
}
