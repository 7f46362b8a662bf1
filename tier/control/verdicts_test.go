package control

import (
	"testing"

	"otterseam/tier/outlier"
)

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
