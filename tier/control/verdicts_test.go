package control

import (
	"testing"

	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/outlier"
)

func terms(s *State) map[string]int64 {
	found := map[string]int64{}
	for _, item := range s.View.All(feed.SectionVerdict) {
		if term, err := directory.DecodeTerm(item.Data); err == nil {
			found[item.Key] = term
		}
	}
	return found
}

// A host that is set aside is distributed as such, over snapshots too, until the term ends or the host goes.
func TestVerdictsAreDistributedUntilTheyEnd(t *testing.T) {
	state := NewState()
	index := uint64(0)
	apply := func(c Command) {
		index++
		state.Apply(index, c.Encode())
	}
	for _, id := range []string{"a", "b"} {
		apply(Command{Kind: CommandPutHost, Host: directory.Host{ID: id, Service: "s"}, Seq: 1})
		apply(Command{Kind: CommandSetAside, Key: id, TermMS: 2000})
	}
	apply(Command{Kind: CommandSetAside, Key: "never heard of", TermMS: 2000})
	again := NewState()
	if err := again.Restore(state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*State{state, again} {
		if got := terms(each); len(got) != 2 || got["a"] != 2000 {
			t.Fatalf("%v", got)
		}
	}
	distributed := 0
	for _, item := range state.View.Since(0).Items {
		if item.Section == feed.SectionVerdict {
			distributed++
		}
	}
	if distributed != 2 {
		t.Fatalf("%d verdicts are distributed", distributed)
	}
	apply(Command{Kind: CommandEndAside, Key: "a"})
	apply(Command{Kind: CommandEndAside, Key: "a"})
	apply(Command{Kind: CommandRemoveHost, Key: "b"})
	if got := terms(state); len(got) != 0 {
		t.Fatalf("%v", got)
	}
}

// A new primary knows nothing of what was seen before, and ends the terms that it finds.
func TestVerdictsEndUnderANewPrimary(t *testing.T) {
	v := newVerdicts()
	fleet := func() outlier.Fleet {
		return outlier.Fleet{"s": {{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
	}
	v.begin(map[string]int64{"a": 2000}, 5000)
	if aside, ended := v.decide(fleet, 6999); len(aside)+len(ended) != 0 {
		t.Fatal(aside, ended)
	}
	if _, ended := v.decide(fleet, 7000); len(ended) != 1 || ended[0] != "a" {
		t.Fatal(ended)
	}
	for reporter := range uint64(3) {
		failed := outlier.Observation{Host: "b"}
		failed.Counts[outlier.Hung] = 2
		v.take(outlier.Window{Reporter: reporter + 1, Number: 1, Contacted: 9, Hosts: []outlier.Observation{failed}}, 8000)
	}
	aside, _ := v.decide(fleet, 8050)
	if len(aside) != 1 || aside[0].Host != "b" {
		t.Fatal(aside)
	}
	if _, ended := v.decide(fleet, 8050+aside[0].DurationMS); len(ended) != 1 {
		t.Fatal("the term never ends")
	}
}
