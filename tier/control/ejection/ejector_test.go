package ejection

import (
	"testing"

	"otterseam/tier/outlier"
)

// A new primary starts without observations. It ends the ejections of its predecessor and its own.
func TestEjectionsEndUnderNewPrimary(t *testing.T) {
	e := New()
	fleet := func() outlier.Fleet {
		return outlier.Fleet{"s": {{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
	}
	e.Begin(map[string]int64{"a": 2000}, 5000)
	if eject, ended := e.Decide(fleet, 6999); len(eject)+len(ended) != 0 {
		t.Fatal(eject, ended)
	}
	if _, ended := e.Decide(fleet, 7000); len(ended) != 1 || ended[0] != "a" {
		t.Fatal(ended)
	}
	for reporter := range uint64(3) {
		failed := outlier.Observation{Host: "b"}
		failed.Counts[outlier.Hung] = 2
		e.Observe(outlier.Window{Reporter: reporter + 1, Number: 1, Contacted: 9, Hosts: []outlier.Observation{failed}}, 8000)
	}
	eject, _ := e.Decide(fleet, 8050)
	if len(eject) != 1 || eject[0].Host != "b" {
		t.Fatal(eject)
	}
	if _, ended := e.Decide(fleet, 8050+eject[0].DurationMS); len(ended) != 1 {
		t.Fatal("the ejection does not end")
	}
}
